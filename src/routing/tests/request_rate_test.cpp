#include "routing/request_rate.h"

#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::routing;
using namespace std::chrono_literals;

namespace {

const steady_time start{1h};

} // namespace

TEST_CASE("a rate ends only with a response to a request that was sent after it was named")
{
    struct row {
        const char* name;
        steady_time sent;
        bool is_ended;
    };
    const row rows[] = {
        {"request sent before, response late", start - 1ms, false},
        {"request sent after", start + 1ms, true},
    };
    for (const auto& it : rows) {
        CAPTURE(it.name);
        std::optional<named_rate> rate;
        CHECK(update_rate(rate, 4.6, start - 1s, start));
        CHECK(update_rate(rate, std::nullopt, it.sent, start + 2s) == it.is_ended);
        CHECK(rate.has_value() != it.is_ended);
    }
}

TEST_CASE("update_rate reports changes only")
{
    std::optional<named_rate> rate;
    CHECK_FALSE(update_rate(rate, std::nullopt, start, start));
    CHECK(update_rate(rate, 2.0, start, start));
    CHECK_FALSE(update_rate(rate, 2.0, start, start + 1s));
    CHECK(rate->named == start + 1s);
    CHECK(update_rate(rate, 3.0, start, start + 1s));
}
