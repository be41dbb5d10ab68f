#pragma once

#include "common/clock.h"
#include "granting/decision_log.h"
#include "peer/peer_sender.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace almondline::entry {

/// Collects the decision records of a request from all instances. Runs on the control thread.
class decision_collector {
public:
    using deliver = std::function<void(std::string json)>;

    decision_collector(std::string instance_id, const granting::decision_log& decisions,
                       peer_sender& sender);

    /// Queries the peers and delivers the collected records as JSON once all of them have answered,
    /// or after one second.
    void start(const std::string& request_id, const std::vector<std::string>& peers,
               steady_time now, deliver done);
    void handle(const std::string& from, const wire::envelope& message);
    void tick(steady_time now);

private:
    struct query {
        std::string request_id;
        std::size_t unanswered = 0;
        steady_time deadline{};
        std::map<std::string, std::vector<std::string>> lines; ///< by instance
        deliver done;
    };

    void finish(const query& finished) const;

    std::string instance_id_;
    const granting::decision_log& decisions_;
    peer_sender& sender_;
    std::map<std::string, query> queries_; ///< by query id
};

} // namespace almondline::entry
