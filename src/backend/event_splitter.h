#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace almondline::backend {

/// Divides a stream of server-sent events into whole events and keeps their bytes unchanged, so
/// that a stream can be passed on and never ends within an event.
class event_splitter {
public:
    /// Events up to this id were passed on before, from another server, and are left out.
    explicit event_splitter(std::uint64_t last_id = 0) : last_id_{last_id} {}

    /// Takes received bytes and appends the whole events among them to out. Returns false if an
    /// event is longer than max_event_size.
    bool split(std::string_view data, std::string& out);

    /// True if the bytes received so far end with a whole event.
    bool is_at_boundary() const { return rest_.empty(); }
    std::uint64_t last_id() const { return last_id_; }
    /// Events passed on.
    std::size_t count() const { return count_; }

private:
    void take(std::string_view event, std::string& out);

    std::string rest_;
    std::uint64_t last_id_ = 0;
    std::size_t count_ = 0;
};

} // namespace almondline::backend
