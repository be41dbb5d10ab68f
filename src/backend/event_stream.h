#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace almondline::backend {

/// One server-sent event.
struct stream_event {
    std::uint64_t id = 0; ///< position in the stream, starting at 1; 0 if the event has none
    std::string data;
};

/// Incremental parser of server-sent events. Lines end with a carriage return, a line feed or both.
/// Comments, which serve as heartbeats, are skipped.
class event_parser {
public:
    /// Appends the events that the data completes. Returns false if a line or event is longer than
    /// max_event_size.
    bool parse(std::string_view data, std::vector<stream_event>& events);

private:
    void parse_line(std::string_view line, std::vector<stream_event>& events);

    std::string rest_;
    stream_event current_;
    bool has_data_ = false;
    bool is_after_carriage_return_ = false; ///< a following line feed is part of the line end
};

/// Longest line or event, in bytes.
constexpr std::size_t max_event_size = 1024 * 1024;

/// Returns the text of an event on the wire.
std::string format_event(const stream_event& event);

} // namespace almondline::backend
