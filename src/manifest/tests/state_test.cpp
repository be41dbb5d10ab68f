#include "common/hash.h"
#include "manifest/manifest_state.h"
#include "manifest/tests/sample_manifest.h"

#include <doctest/doctest.h>

using namespace almondline;

// Guards invariant 8 of docs/design.md: a manifest in force never reverts to an older version,
// whatever a slow peer or store delivers.
TEST_CASE("manifest_state applies only higher versions with a matching digest and valid text")
{
    const std::string digest = sha256_hex(sample_manifest);
    struct row {
        std::int64_t version;
        std::string digest;
        std::string text;
        const char* reason;
    };
    const row rows[] = {
        {5, digest, sample_manifest, ""},
        {5, digest, sample_manifest, "version 5 is not above version 5 in force"},
        {4, digest, sample_manifest, "version 4 is not above version 5 in force"},
        {6, sha256_hex("x"), sample_manifest, "the text does not match the digest "},
        {6, sha256_hex("{}"), "{}", "peer-1: schema: is missing"},
        {7, digest, sample_manifest, ""},
    };
    manifest_state state;
    CHECK(state.snapshot() == nullptr);
    CHECK(state.version() == 0);
    std::int64_t in_force = 0;
    for (const auto& it : rows) {
        const auto before = state.snapshot();
        const auto result = state.apply(it.version, it.digest, it.text, "peer-1");
        CHECK(result.is_applied == result.reason.empty());
        CHECK(result.reason.rfind(it.reason, 0) == 0);
        in_force = result.is_applied ? it.version : in_force;
        CHECK(state.version() == in_force);
        CHECK(state.digest() == digest);
        CHECK(*state.text() == sample_manifest);
        CHECK((state.snapshot() == before) == !result.is_applied);
    }
    CHECK(state.version() == 7);
}
