#include "manifest/diff.h"
#include "manifest/parse.h"
#include "manifest/tests/sample_manifest.h"

#include <doctest/doctest.h>

using namespace almondline;

namespace {

std::string error_of(const std::string& text)
{
    parse_error error;
    return try_parse_manifest(text, "a.json", error) ? std::string{} : to_string(error);
}

} // namespace

TEST_CASE("parse_manifest reads the whole schema and fills in defaults")
{
    const auto m = parse_manifest(sample_manifest, "a.json");
    REQUIRE(m);
    CHECK(m->digest.size() == 64);
    CHECK(find_tier(*m, "batch") == 1);
    CHECK(find_tier(*m, "none") == -1);
    REQUIRE(find_service_of_model(*m, "m1") != nullptr);
    CHECK(find_service_of_model(*m, "m1")->deadline == std::chrono::seconds{30});
    CHECK(find_service(*m, "desk")->type == service_type::plain);
    CHECK(find_service(*m, "desk")->max_waiting == 1000);
    CHECK_FALSE(find_service(*m, "desk")->calls[0].is_idempotent);
    CHECK(find_account(*m, "desk")->max_in_progress == 9);
    CHECK(find_engine_class(*m, "g1")->max_in_flight == 16);
    CHECK(find_account(*m, "other") == nullptr);
}

// Guards against an error that an operator can't locate, and against accepting a misspelled member.
TEST_CASE("parse_manifest reports the location and the reason of each error")
{
    struct row {
        const char* part;
        const char* replacement;
        const char* error;
    };
    const row rows[] = {
        {"\"name\": \"sample\",", "\"name\": ,", "a.json:2: JSON: syntax error"},
        {"\"schema\": 1", "\"schema\": 2", "a.json: schema: is 2 but must be between 1 and 1"},
        {"\"floor\": 0.2", "\"flor\": 0.2", "a.json: tiers[0].flor: is not a known member"},
        {"\"floor\": 0.2", "\"floor\": -1",
         "a.json: tiers[0].floor: is -1 but must be between 0 and 0.99"},
        {"\"floor\": 0.2", "\"floor\": 0.8",
         "a.json: tiers, kinds: the floors sum to 1.000000 but must sum to less than 1"},
        {"\"weight\": 2", "\"weight\": \"2\"", "a.json: kinds[0].weight: must be a number"},
        {"\"weight\": 2", "\"weight\": 0",
         "a.json: kinds[0].weight: is 0 but must be between 0.001 and 1e+06"},
        {"\"max_in_progress\": 9", "\"max_in_progress\": 1.5",
         "a.json: accounts[0].max_in_progress: must be a whole number"},
        {"[\"batch\"]", "[\"none\"]", "a.json: accounts[0].tiers: there is no tier \"none\""},
        {"[\"batch\"]", "[7]", "a.json: accounts[0].tiers: must be an array of strings"},
        {"ba7816bf", "BA7816BF",
         "a.json: accounts[0].key_hashes: each hash must have 64 lower-case hexadecimal digits"},
        {"15ad\"]", "15ad\", \"ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad\"]",
         "a.json: accounts[0].key_hashes: each key hash may be listed only once across all "
         "accounts"},
        {"9000", "0",
         "a.json: engine_classes[0].prefill_tokens_per_second: is 0 but must be "
         "between 0.001 and 1e+12"},
        {"\"type\": \"plain\"", "\"type\": \"job\"",
         "a.json: services[1].type: must be \"model\" or \"plain\""},
        {"\"models\": [\"m1\"], ", "",
         "a.json: services[0].models: a model service must list models, a plain service must not"},
        {"\"default_kind\": \"print\"", "\"default_kind\": \"x\"",
         "a.json: services[1].default_kind: there is no kind \"x\""},
        {"\"name\": \"desk\", \"type\"", "\"name\": \"chat\", \"type\"",
         "a.json: services[1].name: \"chat\" is used twice"},
        {"\"name\": \"desk\", \"weight\"", "\"name\": \"de sk\", \"weight\"",
         "a.json: accounts[0].name: \"de sk\" may contain only letters, digits and . _ - / :"},
        {"\"POST\"", "\"SEND\"",
         "a.json: services[1].calls: \"SEND\" is not a supported HTTP method"},
        {"\"/jobs\"", "\"jobs\"", "a.json: services[1].calls: the path \"jobs\" must begin with /"},
        {"\"idempotent\": false", "\"idempotent\": 0",
         "a.json: services[1].calls[0].idempotent: must be true or false"},
        {"\"model\": \"m1\"", "\"model\": \"m2\"",
         "a.json: placements[0].model: no service has the model \"m2\""},
        {"\"min_replicas\": 1", "\"min_replicas\": 4",
         "a.json: placements[0].min_replicas: is above max_replicas"},
    };
    for (const auto& it : rows) {
        CAPTURE(it.part);
        CHECK(error_of(sample_with(it.part, it.replacement)) == it.error);
    }
    CHECK(error_of("[]") == "a.json: document: must be an object");
    CHECK(error_of("{}") == "a.json: schema: is missing");
    CHECK(error_of(std::string(max_manifest_bytes + 1, ' ')).find("above the limit") !=
          std::string::npos);
}

TEST_CASE("diff_manifests shows added, removed and changed elements and ignores formatting")
{
    const auto parse = [](const std::string& text) {
        return parse_manifest(text, "a.json").value();
    };
    const auto before = parse(sample_manifest);
    CHECK(diff_manifests(before, parse(sample_with("\"schema\": 1", "\"schema\":1"))).empty());
    auto after = parse(sample_with("\"deadline_ms\": 30000", "\"deadline_ms\": 20000"));
    after.kinds[1].name = "proof";
    CHECK(diff_manifests(before, after) ==
          std::vector<std::string>{"- kinds[print]", "+ kinds[proof] weight=1 floor=0.1",
                                   "~ services[chat].deadline_ms: 30000 -> 20000"});
}
