#include "manifest/parse.h"

#include <doctest/doctest.h>
#include <fstream>
#include <set>
#include <sstream>

using namespace almondline;

namespace {

std::string read_file(const std::string& path)
{
    const std::ifstream in{path};
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

} // namespace

// Guards against example manifests that no longer match the schema.
TEST_CASE("the example manifests are valid and match the two deployments")
{
    struct row {
        const char* name;
        const char* plain_service;
        std::size_t engine_classes;
    };
    const row rows[] = {{"shelfmark", "print-desk", 3}, {"goldfields", "booking", 2}};
    for (const auto& it : rows) {
        const std::string path =
            std::string{ALMONDLINE_SOURCE_DIR} + "/examples/" + it.name + ".json";
        parse_error error;
        const auto m = try_parse_manifest(read_file(path), path, error);
        INFO(to_string(error));
        REQUIRE(m);
        CHECK(m->name == it.name);
        CHECK(m->accounts.size() == 5);
        CHECK(m->tiers.size() == 5);
        CHECK(m->kinds.size() == 5);
        CHECK(m->engine_classes.size() == it.engine_classes);
        REQUIRE(find_service(*m, it.plain_service) != nullptr);
        CHECK(find_service(*m, it.plain_service)->type == service_type::plain);
        for (const auto& account : m->accounts) {
            CHECK(account.key_hashes.size() == 1);
        }
    }
}
