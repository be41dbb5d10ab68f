#include "distribution/tests/distribution_fleet.h"

#include <cstdlib>
#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::distribution;
using namespace almondline::distribution::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int default_seeds = 12;
constexpr int actions = 60;
constexpr int fleet_size = 24;

/// Number of seeds to play; more by hand: ALMONDLINE_SEEDS=200 distribution_tests -tc="changes*"
int seed_count()
{
    const char* text = std::getenv("ALMONDLINE_SEEDS");
    return text == nullptr ? default_seeds : std::atoi(text);
}

/// Publishes versions and disturbs the fleet at random.
struct random_operator {
    explicit random_operator(std::uint64_t seed)
        : random{seed}, fleet{fleet_size, 3, static_cast<double>(seed % 3) * 0.05, seed}
    {
    }

    void publish(const std::string& next)
    {
        fleet.publish(++version, next);
        if (next != "invalid") {
            text = next;
            valid_version = version;
        }
    }

    void act()
    {
        switch (random() % 8) {
        case 0:
            publish("invalid");
            break;
        case 1:
            publish(random_text(40'000 + random() % 400'000, random()));
            break;
        case 2:
            fleet.start(static_cast<int>(random() % fleet_size));
            break;
        case 3:
            fleet.store.set_down(true);
            fleet.run(milliseconds{random() % 1'500});
            fleet.store.set_down(false);
            break;
        case 4:
            fleet.are_announcements_lost = !fleet.are_announcements_lost;
            break;
        default:
            publish(text.substr(0, text.size() - text.size() / 20) + random_text(100, random()));
        }
        fleet.run(milliseconds{random() % 900});
    }

    std::mt19937_64 random;
    distribution_fleet fleet;
    std::int64_t version = 0;
    std::int64_t valid_version = 0;
    std::string text;
};

} // namespace

TEST_CASE("changes, restarts, outages and invalid texts that overlap leave no instance behind")
{
    for (int seed = 1; seed <= seed_count(); ++seed) {
        CAPTURE(seed);
        random_operator op{static_cast<std::uint64_t>(seed)};
        op.publish(random_text(5'000));
        op.fleet.run(seconds{3});
        for (int n = 0; n < actions; ++n) {
            op.act();
        }
        op.fleet.are_announcements_lost = false;
        op.publish(op.text + "last");
        CHECK(op.fleet.time_until(op.valid_version) <= seconds{15});
        CHECK_FALSE(op.fleet.has_reversion());
        for (const auto& [id, it] : op.fleet.instances) {
            CHECK(it.text == op.text);
        }
    }
}
