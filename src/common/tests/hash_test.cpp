#include "common/hash.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace almondline;

TEST_CASE("sha256_hex matches the published vector for \"abc\"")
{
    CHECK(sha256_hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE("rendezvous_order moves only the keys of a removed candidate")
{
    const std::vector<std::string> all{"a", "b", "c", "d", "e"};
    const std::vector<std::string> rest{"a", "b", "c", "d"};
    int moved = 0;
    int owned = 0;
    for (int i = 0; i < 500; ++i) {
        const std::string key = "key" + std::to_string(i);
        const auto before = rendezvous_order(key, all).front();
        const auto after = rendezvous_order(key, rest).front();
        owned += before == "e" ? 1 : 0;
        moved += before != after ? 1 : 0;
    }
    CHECK(moved == owned);
    CHECK(owned > 50);
    CHECK(owned < 150);
}

TEST_CASE("equal_constant_time distinguishes texts that differ in content or length")
{
    CHECK(equal_constant_time("secret", "secret"));
    CHECK_FALSE(equal_constant_time("secret", "secreT"));
    CHECK_FALSE(equal_constant_time("secret", "secret "));
}
