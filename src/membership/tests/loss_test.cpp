#include "membership/tests/simulated_fleet.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace almondline::membership;
using namespace almondline::membership::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct traffic {
    double mean = 0; ///< bytes/s of a member
    double highest = 0;
};

traffic measure_traffic(simulated_fleet& f, seconds duration)
{
    f.bytes_sent.clear();
    f.run(duration);
    traffic result;
    for (const auto& [id, bytes] : f.bytes_sent) {
        const auto rate = static_cast<double>(bytes) / static_cast<double>(duration.count());
        result.mean += rate / static_cast<double>(f.bytes_sent.size());
        result.highest = std::max(result.highest, rate);
    }
    return result;
}

} // namespace

TEST_CASE("a dead instance is removed from the callers' addresses within 3 s at any size and loss")
{
    struct row {
        int members;
        double loss;
        int deaths;
        int false_deaths; ///< allowed; counted for each pair of members
    };
    // The limits on false deaths are for all pairs, 160,000 at 400 members, in about 20 s.
    const row rows[] = {{8, 0, 5, 0},   {8, 0.05, 5, 0},   {8, 0.2, 5, 1},
                        {400, 0, 5, 0}, {400, 0.05, 5, 0}, {400, 0.2, 5, 8}};
    for (const auto& it : rows) {
        CAPTURE(it.members);
        CAPTURE(it.loss);
        simulated_fleet f{it.members, 3, it.loss, 7};
        f.run(seconds{10});
        for (const auto& [id, table] : f.tables) {
            // Late discovery or a false suspicion must not hide live members from callers.
            CHECK(table->advertised_members().size() >= f.tables.size() * 97 / 100);
        }
        const auto rate = measure_traffic(f, seconds{10});
        milliseconds longest{0};
        for (int i = 0; i < it.deaths; ++i) {
            f.kill(name_of(i));
            longest = std::max(longest, f.time_to_exclude(name_of(i)));
            f.run(milliseconds{175 * i});
        }
        CHECK(longest <= seconds{3});
        CHECK(f.false_deaths <= it.false_deaths);
        // The budget of an instance for all control traffic is 18 KB/s.
        CHECK(rate.highest < 9'000);
        MESSAGE(it.members << " members, loss " << it.loss << ": excluded after " << longest.count()
                           << " ms, false deaths " << f.false_deaths << ", mean " << rate.mean
                           << " B/s, most " << rate.highest << " B/s");
    }
}

// At the full rate, probes were half of all messages in a fleet of 295 members.
TEST_CASE("members of a large fleet probe less often and still exclude a dead one within 3 s")
{
    membership_config config;
    config.probe_interval = milliseconds{250};
    config.suspect_after = milliseconds{500};
    config.successors = 6;
    simulated_fleet full_rate{100, 5, 0.02, 7, config};
    config.full_rate_members = 25;
    simulated_fleet reduced_rate{100, 5, 0.02, 7, config};
    full_rate.run(seconds{10});
    reduced_rate.run(seconds{10});
    CHECK(measure_traffic(reduced_rate, seconds{10}).mean <
          0.5 * measure_traffic(full_rate, seconds{10}).mean);
    reduced_rate.kill(name_of(3));
    CHECK(reduced_rate.time_to_exclude(name_of(3)) <= seconds{3});
    CHECK(reduced_rate.false_deaths == 0);
}

TEST_CASE("an update is sent a limited number of times and each message carries a limited number")
{
    update_queue queue;
    for (int i = 0; i < 100; ++i) {
        push_update(queue, name_of(i), 400);
    }
    int sent = 0;
    for (auto ids = take_updates(queue, 7); !ids.empty(); ids = take_updates(queue, 7)) {
        CHECK(ids.size() <= 7);
        sent += static_cast<int>(ids.size());
    }
    CHECK(sent == 100 * 27); // 3 * ceil(log2(401))
}
