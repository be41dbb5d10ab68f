#pragma once

#include <stdexcept>

namespace almondline::fuzz {

class invariant_failure : public std::logic_error {
public:
    using std::logic_error::logic_error;
};

/// Throws invariant_failure with the text of the invariant if it does not hold.
inline void require(bool holds, const char* invariant)
{
    if (!holds) {
        throw invariant_failure{invariant};
    }
}

} // namespace almondline::fuzz
