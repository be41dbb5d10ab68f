#pragma once

#include "common/clock.h"
#include "scheduling/queue.h"

#include <string>

namespace almondline::scheduling {

using namespace std::chrono_literals;

inline queue_config three_tiers(std::size_t max_waiting)
{
    queue_config config;
    config.tiers = {{"urgent", 0}, {"normal", 0.2}, {"batch", 0.1}};
    config.kinds["check"] = {"check", 1, 0.1};
    config.max_waiting = max_waiting;
    return config;
}

inline credit_request make_credit_request(const std::string& id, int tier,
                                          const std::string& account, double cost = 1,
                                          const std::string& kind = "draft")
{
    credit_request made;
    made.request_id = id;
    made.tier = tier;
    made.account = account;
    made.kind = kind;
    made.cost = cost;
    return made;
}

} // namespace almondline::scheduling
