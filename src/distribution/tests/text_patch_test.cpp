#include "distribution/internal/text_patch.h"
#include "distribution/tests/distribution_fleet.h"

#include <doctest/doctest.h>

using namespace almondline::distribution;
using namespace almondline::distribution::tests;

TEST_CASE("a patch is as small as the change and leads to the same text")
{
    const auto base = random_text(400'000);
    auto text = base;
    text.insert(200'000, "one more route");
    const auto patch = make_patch(base, text);
    CHECK(patch.size() < 400);
    CHECK(apply_patches(base, patch) == text);
    const auto next = text + "and another";
    CHECK(apply_patches(base, patch + make_patch(text, next)) == next);
    CHECK(apply_patches({}, make_patch({}, text)) == text);
    CHECK(apply_patches(base, make_patch(base, {})) == std::string{});
}

TEST_CASE("a patch that is cut off, damaged or for another base is refused or gives another text")
{
    const auto base = random_text(50'000, 1);
    const auto text = base + random_text(500, 2);
    const auto patch = make_patch(base, text);
    CHECK_FALSE(apply_patches(base, {}).has_value());
    for (std::size_t n = 1; n < patch.size(); n += 7) {
        CHECK_FALSE(apply_patches(base, patch.substr(0, n)).has_value());
    }
    for (std::size_t n = 0; n < patch.size(); ++n) {
        auto damaged = patch;
        damaged[n] ^= 0x20;
        const auto result = apply_patches(base, damaged);
        CHECK((!result || result->size() <= max_text_bytes));
    }
    CHECK(apply_patches(random_text(50'000, 3), patch) != text);
}

TEST_CASE("a frame that states a text above the limit is refused without allocating it")
{
    const std::string text(max_text_bytes + 1, 'x');
    const auto patch = make_patch({}, text);
    CHECK(patch.size() < 10'000);
    CHECK_FALSE(apply_patches({}, patch).has_value());
}
