#pragma once

#include <string>

namespace almondline::granting {

/// Answer of a pool that did not take a request.
struct pool_refusal {
    std::string pool;
    std::string code;
};

} // namespace almondline::granting
