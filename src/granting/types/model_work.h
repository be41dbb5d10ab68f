#pragma once

#include <string>

namespace almondline::granting {

/// Work of one account in one tier for one model. Costs are in token units. Unserved requests are
/// those refused because no replica had the model.
struct model_work {
    std::string model;
    int tier = 0;
    std::string account;
    double waiting_cost = 0; ///< including recent unserved requests
    double running_cost = 0;
    int waiting = 0; ///< including recent unserved requests
    int running = 0;
};

} // namespace almondline::granting
