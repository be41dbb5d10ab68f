#include "common/clock.h"

namespace almondline {

steady_time system_clock_source::now() const
{
    return std::chrono::steady_clock::now();
}

system_time system_clock_source::wall() const
{
    return std::chrono::system_clock::now();
}

} // namespace almondline
