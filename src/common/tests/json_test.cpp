#include "common/json.h"

#include <doctest/doctest.h>

using namespace almondline;

TEST_CASE("parse_json refuses numbers beyond the range of a double")
{
    // Found by fuzzing: such numbers became infinite and were sent to engines as invalid JSON.
    for (const char* text : {"1e999", "[1,{\"a\":-1e400}]", "18446744073709551e9991615"}) {
        CAPTURE(text);
        CHECK_FALSE(parse_json(text));
    }
    CHECK(parse_json("[1e308,-1e308,18446744073709551615]"));
}
