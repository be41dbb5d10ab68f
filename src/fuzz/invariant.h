#pragma once

#include <stdexcept>

namespace almondline::fuzz {

class invariant_failure : public std::logic_error {
public:
    using std::logic_error::logic_error;
};

/// Throws if the condition does not hold. The text names what must hold.
inline void require(bool holds, const char* what)
{
    if (!holds) {
        throw invariant_failure{what};
    }
}

} // namespace almondline::fuzz
