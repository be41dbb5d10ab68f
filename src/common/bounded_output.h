#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace almondline {

/// Lines for a file descriptor that may be slow to take them, for example a pipe. Never blocks:
/// lines wait in memory up to a limit, and further ones are dropped and counted. Not thread-safe.
class bounded_output {
public:
    /// Switches the descriptor to non-blocking writes. It must outlive the object.
    bounded_output(int descriptor, std::size_t max_pending_bytes);

    /// Adds a line and its end. Returns false if it was dropped.
    bool add(std::string_view line);
    /// Writes as much as the descriptor takes at once.
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
