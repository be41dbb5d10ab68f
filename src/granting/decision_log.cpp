#include "granting/decision_log.h"

namespace almondline::granting {

namespace {

constexpr std::string_view component = "granting";

} // namespace

decision_log::decision_log(const clock_source& clock, std::size_t max_lines)
    : clock_{clock}, max_lines_{max_lines == 0 ? 1 : max_lines}
{
}

void decision_log::add(const std::string& request_id, log_level level, std::string_view event,
                       std::initializer_list<log_field> fields)
{
    log_event(component, level, event, fields);
    keep(request_id, format_log_line(component, level, event, fields));
}

void decision_log::keep(const std::string& request_id, std::string text)
{
    const auto at =
        std::chrono::duration_cast<std::chrono::milliseconds>(clock_.wall().time_since_epoch());
    if (lines_.size() >= max_lines_) {
        drop_oldest();
    }
    by_request_[request_id].push_back(first_ + lines_.size());
    lines_.push_back({request_id, "at_ms=" + std::to_string(at.count()) + " " + std::move(text)});
}

void decision_log::drop_oldest()
{
    const auto it = by_request_.find(lines_.front().request_id);
    it->second.pop_front();
    if (it->second.empty()) {
        by_request_.erase(it);
    }
    lines_.pop_front();
    ++first_;
}

std::vector<std::string> decision_log::explain(const std::string& request_id) const
{
    std::vector<std::string> texts;
    const auto it = by_request_.find(request_id);
    if (it == by_request_.end()) {
        return texts;
    }
    for (const auto number : it->second) {
        texts.push_back(lines_[number - first_].text);
    }
    return texts;
}

} // namespace almondline::granting
