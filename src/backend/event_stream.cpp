#include "backend/event_stream.h"

#include <charconv>

namespace almondline::backend {

void event_parser::parse_line(std::string_view line, std::vector<stream_event>& events)
{
    if (line.empty()) {
        if (has_data_) {
            events.push_back(std::move(current_));
        }
        current_ = {};
        has_data_ = false;
        return;
    }
    const auto colon = line.find(':');
    const auto field = line.substr(0, colon);
    auto value = colon == line.npos ? std::string_view{} : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    if (field == "data") {
        current_.data += has_data_ ? "\n" : "";
        current_.data += value;
        has_data_ = true;
    }
    else if (field == "id") {
        std::from_chars(value.data(), value.data() + value.size(), current_.id);
    }
}

bool event_parser::parse(std::string_view data, std::vector<stream_event>& events)
{
    if (data.empty()) {
        return true;
    }
    if (is_after_carriage_return_ && data.front() == '\n') {
        data.remove_prefix(1);
    }
    is_after_carriage_return_ = false;
    rest_ += data;
    bool is_within_limit = true;
    std::size_t start = 0;
    for (auto end = rest_.find_first_of("\r\n"); end != rest_.npos;
         end = rest_.find_first_of("\r\n", start)) {
        parse_line(std::string_view{rest_}.substr(start, end - start), events);
        is_within_limit = is_within_limit && end - start <= max_event_size &&
                          current_.data.size() <= max_event_size;
        start = end + 1;
        is_after_carriage_return_ = rest_[end] == '\r' && start == rest_.size();
        if (rest_[end] == '\r' && start < rest_.size() && rest_[start] == '\n') {
            ++start;
        }
    }
    rest_.erase(0, start);
    return is_within_limit && rest_.size() <= max_event_size;
}

std::string format_event(const stream_event& event)
{
    std::string text;
    if (event.id != 0) {
        text = "id: " + std::to_string(event.id) + "\n";
    }
    std::string_view rest = event.data;
    while (true) {
        const auto end = rest.find('\n');
        text += "data: ";
        text += rest.substr(0, end);
        text += '\n';
        if (end == rest.npos) {
            break;
        }
        rest.remove_prefix(end + 1);
    }
    return text + "\n";
}

} // namespace almondline::backend
