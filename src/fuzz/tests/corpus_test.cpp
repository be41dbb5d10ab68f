#include "common/log.h"
#include "fuzz/targets.h"
#include "fuzz/tests/mutator.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <iterator>

using namespace almondline;
using namespace almondline::fuzz;

namespace {

struct target {
    const char* name;
    void (*run)(std::string_view);
};

constexpr target targets[] = {{"settings", fuzz_settings},
                              {"manifest", fuzz_manifest},
                              {"json", fuzz_json},
                              {"reports", fuzz_reports},
                              {"event_stream", fuzz_event_stream},
                              {"completion", fuzz_completion},
                              {"peer_frame", fuzz_peer_frame},
                              {"store_records", fuzz_store_records},
                              {"minted_key", fuzz_minted_key},
                              {"caller_request", fuzz_caller_request},
                              {"http_target", fuzz_http_target},
                              {"instance_list", fuzz_instance_list},
                              {"store_answers", fuzz_store_answers}};

constexpr int mutations_per_target = 20'000;
constexpr std::uint64_t seed = 20'240'611;

std::vector<std::string> read_corpus(const std::string& name)
{
    std::vector<std::filesystem::path> paths;
    for (const auto& it : std::filesystem::directory_iterator{FUZZ_CORPUS "/" + name}) {
        paths.push_back(it.path());
    }
    std::sort(paths.begin(), paths.end());
    std::vector<std::string> seeds;
    for (const auto& it : paths) {
        std::ifstream in{it, std::ios::binary};
        seeds.emplace_back(std::istreambuf_iterator<char>{in}, std::istreambuf_iterator<char>{});
    }
    return seeds;
}

/// Returns the text of the violated invariant, or an empty string if all hold.
std::string run(const target& it, const std::string& input)
{
    try {
        it.run(input);
        return {};
    }
    catch (const std::exception& e) {
        return e.what();
    }
}

} // namespace

TEST_CASE("parsers of external input keep their invariants for the corpus and its mutations")
{
    // Guards against the return of errors that fuzzing found, and against new ones in changed
    // parsers.
    set_log_level("*", log_level::error);
    for (const auto& it : targets) {
        CAPTURE(it.name);
        const auto seeds = read_corpus(it.name);
        REQUIRE_FALSE(seeds.empty());
        for (const auto& input : seeds) {
            CAPTURE(input);
            CHECK(run(it, input).empty());
        }
        mutator mutations{seed};
        for (int i = 0; i < mutations_per_target; ++i) {
            const auto input = mutations.make(seeds);
            CAPTURE(input);
            CAPTURE(i);
            REQUIRE(run(it, input) == "");
        }
    }
}
