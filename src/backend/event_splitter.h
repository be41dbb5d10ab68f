#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace almondline::backend {

/// Splits a stream of server-sent events into complete events without changing their bytes, so that
/// a forwarded stream never ends in the middle of an event.
class event_splitter {
public:
    /// Events up to this id were already forwarded from another server and are dropped. 0 if this
    /// is the first server.
    explicit event_splitter(std::uint64_t last_id = 0) : resumed_after_{last_id}, last_id_{last_id}
    {
    }

    /// Adds received bytes and appends the events that they complete to out. Returns false if the
    /// remaining incomplete event is longer than max_event_size.
    bool split(std::string_view data, std::string& out);

    /// Returns whether a resumed stream contained an event without an id. Its place in the stream
    /// is unknown, and it may be an error message, so neither it nor any later event is appended.
    bool has_unplaced_event() const { return has_unplaced_event_; }
    /// Returns whether the server of a resumed stream started again and has not reached the last
    /// event that was already forwarded. If it ends there, it is not the same stream.
    bool is_behind() const { return last_dropped_ != 0 && last_dropped_ < resumed_after_; }

    /// Frees the memory of the incomplete event, which is lost.
    void drop_incomplete() { rest_ = {}; }
    /// Returns the memory that the incomplete event takes, in bytes.
    std::size_t held_bytes() const { return rest_.capacity(); }
    /// Returns whether the bytes received so far end with a complete event.
    bool is_at_boundary() const { return rest_.empty(); }
    std::uint64_t last_id() const { return last_id_; }
    /// Number of events that were not dropped, without comments.
    std::size_t count() const { return count_; }

private:
    void append_event(std::string_view event, std::string& out);

    std::string rest_;
    std::uint64_t resumed_after_ = 0;
    std::uint64_t last_id_ = 0;
    std::uint64_t last_dropped_ = 0;
    bool has_unplaced_event_ = false;
    std::size_t count_ = 0;
};

} // namespace almondline::backend
