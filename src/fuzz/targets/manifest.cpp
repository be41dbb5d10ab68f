#include "fuzz/invariant.h"
#include "fuzz/targets.h"
#include "manifest/parse.h"

namespace almondline::fuzz {

namespace {

void check_service(const manifest& m, const service_policy& service)
{
    require(find_tier(m, service.default_tier) >= 0, "the default tier of a service exists");
    bool has_kind = false;
    for (const auto& it : m.kinds) {
        has_kind = has_kind || it.name == service.default_kind;
    }
    require(has_kind, "the default kind of a service exists");
    require(find_service(m, service.name) == &service, "service names are unique");
    for (const auto& it : service.models) {
        require(find_service_of_model(m, it) == &service, "a model belongs to one service");
    }
}

} // namespace

void fuzz_manifest(std::string_view input)
{
    parse_error error;
    const auto m = try_parse_manifest(input, "fuzz", error);
    if (!m) {
        require(!error.message.empty() && error.file == "fuzz",
                "an error has a message and the file name");
        return;
    }
    require(m->digest.size() == 64, "the digest is a SHA-256");
    require(!m->tiers.empty() && !m->kinds.empty() && !m->services.empty(),
            "a manifest has tiers, kinds and services");
    double floors = 0;
    for (const auto& it : m->tiers) {
        floors += it.floor;
    }
    require(floors <= 1, "the floors of the tiers add up to at most 1");
    for (const auto& it : m->accounts) {
        require(it.weight > 0, "a weight is positive");
        for (const auto& tier : it.tiers) {
            require(find_tier(*m, tier) >= 0, "the tiers of an account exist");
        }
    }
    for (const auto& it : m->services) {
        check_service(*m, it);
    }
    for (const auto& it : m->placements) {
        require(it.min_replicas <= it.max_replicas, "a placement has a valid range");
    }
    const auto again = try_parse_manifest(input, "fuzz", error);
    require(again && again->digest == m->digest,
            "parsing the same text again gives the same digest");
}

} // namespace almondline::fuzz
