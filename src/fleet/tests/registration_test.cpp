#include "fleet/registration.h"

#include "common/log.h"
#include "store/tests/fake_key_value_store.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace almondline;
using namespace almondline::fleet;
using namespace std::chrono_literals;

namespace {

struct fixture {
    explicit fixture(std::size_t size)
    {
        set_log_level("fleet", log_level::error);
        for (std::size_t n = 0; n < size; ++n) {
            registration_settings settings;
            settings.key = key(n);
            settings.value = "v";
            instances.push_back(std::make_unique<registration>(settings, store, clock));
            instances.back()->set_fleet_size(size);
        }
    }

    static std::string key(std::size_t n) { return "instances/" + std::to_string(n); }

    void run_for(std::chrono::milliseconds time)
    {
        for (const auto end = clock.now() + time; clock.now() < end; clock.advance(50ms)) {
            for (const auto& it : instances) {
                it->tick(clock.now());
            }
            store.run();
        }
    }

    std::size_t records() const
    {
        std::size_t out = 0;
        for (std::size_t n = 0; n < instances.size(); ++n) {
            out += store.contains(key(n)) ? 1 : 0;
        }
        return out;
    }

    manual_clock clock;
    fake_key_value_store store{clock};
    std::vector<std::unique_ptr<registration>> instances;
};

} // namespace

TEST_CASE("records that a restore took away are written again under leases of their own")
{
    fixture f{3};
    const auto empty = f.store.make_backup();
    f.run_for(300ms);
    REQUIRE(f.records() == 3);
    // Another client gets a lease id that one of the instances holds.
    f.store.restore(empty);
    f.store.grant_lease(60s, [](const lease_result&) {});
    f.run_for(1s);
    CHECK(f.records() == 3);
    CHECK(f.store.lease_count() == 4);
    f.run_for(20s);
    CHECK(f.records() == 3);
}

TEST_CASE("a record of an earlier lease is replaced, and stays when that lease ends")
{
    fixture f{1};
    f.run_for(300ms);
    const auto saved = f.store.make_backup();
    f.store.end_lease("lease-1");
    f.run_for(5s);
    f.store.restore(saved);
    f.run_for(1s);
    REQUIRE(f.records() == 1);
    f.store.end_lease("lease-1");
    CHECK(f.records() == 1);
    f.run_for(20s);
    CHECK(f.records() == 1);
}

TEST_CASE("two restores shortly one after the other leave one record for each instance")
{
    fixture f{4};
    const auto empty = f.store.make_backup();
    f.run_for(300ms);
    f.store.restore(empty);
    f.run_for(50ms);
    f.store.restore(empty);
    f.run_for(2s);
    CHECK(f.records() == 4);
    CHECK(f.store.lease_count() == 4);
}

TEST_CASE("the instances of a large fleet write their records again one after the other")
{
    fixture f{400};
    const auto empty = f.store.make_backup();
    f.run_for(500ms);
    REQUIRE(f.records() == 400);
    const int writes = f.store.writes();
    f.store.restore(empty);
    f.run_for(500ms);
    CHECK(f.store.writes() - writes <= 150);
    f.run_for(2s);
    CHECK(f.records() == 400);
    CHECK(f.store.writes() - writes == 400);
}
