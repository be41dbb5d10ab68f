#include "common/json.h"

#include <doctest/doctest.h>

using namespace almondline;

TEST_CASE("parse_json refuses numbers that can't be written again")
{
    // Found by mutation of the fuzz corpus: they became infinite and reached engines as text that
    // is not JSON.
    for (const char* text : {"1e999", "[1,{\"a\":-1e400}]", "18446744073709551e9991615"}) {
        CAPTURE(text);
        CHECK_FALSE(parse_json(text));
    }
    CHECK(parse_json("[1e308,-1e308,18446744073709551615]"));
}
