#include "common/log.h"
#include "membership/tests/simulated_fleet.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace almondline::membership;
using namespace almondline::membership::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Failures in a fleet fifty times the current size. KNOWN-RED.txt lists the failing cases.

TEST_CASE("a third of 400 members that die at once are out of the callers' addresses within 3 s")
{
    almondline::set_log_level("*", almondline::log_level::error);
    simulated_fleet f{400, 3, 0.05, 7};
    f.run(seconds{20});
    std::vector<std::string> dead;
    for (int i = 0; i < 400; i += 3) {
        dead.push_back(name_of(i));
        f.kill(name_of(i));
    }
    f.run(seconds{3});
    int still_given = 0;
    for (const auto& id : dead) {
        still_given += f.is_excluded_everywhere(id) ? 0 : 1;
    }
    CHECK(still_given == 0);
}

TEST_CASE("a domain of 400 members that returns after 22 s is not declared dead")
{
    almondline::set_log_level("*", almondline::log_level::error);
    simulated_fleet f{400, 30, 0.05, 7};
    f.run(seconds{20});
    f.isolated_domains.insert("domain-1");
    f.run(seconds{22});
    f.isolated_domains.clear();
    f.run(seconds{30});
    CHECK(f.false_deaths == 0);
}
