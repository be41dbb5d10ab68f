#include "backend/event_splitter.h"

#include "backend/event_stream.h"

#include <charconv>

namespace almondline::backend {

namespace {

/// Memory that is kept between two events, in bytes.
constexpr std::size_t max_kept_capacity = 8 * 1024;

/// Returns the end of the first complete event, after its closing empty line, or npos if there is
/// none.
std::size_t end_of_event(std::string_view text)
{
    std::size_t line = 0;
    while (true) {
        const auto end = text.find('\n', line);
        if (end == text.npos) {
            return text.npos;
        }
        const bool is_empty = end == line || (end == line + 1 && text[line] == '\r');
        line = end + 1;
        if (is_empty) {
            return line;
        }
    }
}

/// Returns the value of the id field, or 0 if the event has none.
std::uint64_t id_of(std::string_view event)
{
    constexpr std::string_view field = "id:";
    std::uint64_t id = 0;
    std::size_t line = 0;
    while (line < event.size()) {
        const auto end = event.find('\n', line);
        auto text = event.substr(line, end - line);
        if (text.substr(0, field.size()) == field) {
            text.remove_prefix(field.size());
            while (!text.empty() && text.front() == ' ') {
                text.remove_prefix(1);
            }
            std::from_chars(text.data(), text.data() + text.size(), id);
        }
        if (end == event.npos) {
            break;
        }
        line = end + 1;
    }
    return id;
}

/// Returns whether all lines are empty or comments.
bool is_comment(std::string_view event)
{
    bool is_line_start = true;
    for (const char c : event) {
        if (is_line_start && c != ':' && c != '\r' && c != '\n') {
            return false;
        }
        is_line_start = c == '\n';
    }
    return true;
}

} // namespace

void event_splitter::append_event(std::string_view event, std::string& out)
{
    if (is_comment(event)) {
        out += event;
        return;
    }
    const auto id = id_of(event);
    if (id == 0 && resumed_after_ != 0) {
        has_unplaced_event_ = true;
        return;
    }
    if (id != 0 && id <= last_id_) {
        last_dropped_ = id;
        return;
    }
    if (id != 0) {
        last_id_ = id;
        last_dropped_ = 0;
    }
    ++count_;
    out += event;
}

bool event_splitter::split(std::string_view data, std::string& out)
{
    rest_ += data;
    std::string_view remaining = rest_;
    for (auto end = end_of_event(remaining); end != remaining.npos && !has_unplaced_event_;
         end = end_of_event(remaining)) {
        append_event(remaining.substr(0, end), out);
        remaining.remove_prefix(end);
    }
    rest_.erase(0, rest_.size() - remaining.size());
    if (rest_.empty() && rest_.capacity() > max_kept_capacity) {
        rest_ = {};
    }
    return rest_.size() <= max_event_size;
}

} // namespace almondline::backend
