#pragma once

#include "common/clock.h"
#include "common/log.h"

#include <cstdint>
#include <deque>
#include <initializer_list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace almondline::granting {

/// Logs each decision about a request and keeps the latest lines in memory for
/// GET /operator/explain.
class decision_log {
public:
    /// max_lines bounds the memory: a line takes about 0.2 to 2 KB, depending on the candidates.
    explicit decision_log(const clock_source& clock, std::size_t max_lines = 10'000);

    /// Logs an event and stores its line under the request id, with the wall-clock time in ms.
    void add(const std::string& request_id, log_level level, std::string_view event,
             std::initializer_list<log_field> fields);

    /// Stores a line that was logged elsewhere.
    void keep(const std::string& request_id, std::string text);

    /// Returns the stored lines about a request, oldest first.
    std::vector<std::string> explain(const std::string& request_id) const;

    std::size_t size() const { return lines_.size(); }

private:
    struct line {
        std::string request_id;
        std::string text;
    };

    void drop_oldest();

    const clock_source& clock_;
    std::size_t max_lines_;
    std::deque<line> lines_;
    std::uint64_t first_ = 0; ///< sequence number of lines_.front()
    /// Sequence numbers of the lines about each request.
    std::unordered_map<std::string, std::deque<std::uint64_t>> by_request_;
};

} // namespace almondline::granting
