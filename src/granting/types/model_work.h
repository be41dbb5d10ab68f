#pragma once

#include <string>

namespace almondline::granting {

/// Work of one account in one tier for one model. Costs are in token units.
struct model_work {
    std::string model;
    int tier = 0;
    std::string account;
    double waiting_cost = 0; ///< with asks refused lately because no replica had the model
    double running_cost = 0;
    int waiting = 0;
    int running = 0;
};

} // namespace almondline::granting
