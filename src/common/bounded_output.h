#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace almondline {

/// Buffers lines for a file descriptor whose reader may be slow, for example a pipe. Never blocks:
/// pending lines are kept in memory up to a limit; further ones are dropped and counted. Not
/// thread-safe.
class bounded_output {
public:
    /// Makes the descriptor non-blocking. It must outlive the object.
    bounded_output(int descriptor, std::size_t max_pending_bytes);

    /// Appends a line and a newline. Returns false if the line was dropped.
    bool add(std::string_view line);
    /// Writes as much as the descriptor accepts without blocking.
    void flush();

    std::size_t pending_bytes() const { return pending_.size(); }
    std::uint64_t dropped_lines() const { return dropped_; }

private:
    int descriptor_;
    std::size_t max_pending_;
    std::string pending_;
    std::uint64_t dropped_ = 0;
};

} // namespace almondline
