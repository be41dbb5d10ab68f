#include "store/tests/fake_key_value_store.h"

#include <doctest/doctest.h>

using namespace almondline;
using namespace std::chrono_literals;

// Fault tests of other modules rely on the fake store and can't detect a fault that it simulates
// incorrectly.
TEST_CASE("fake store: each write fault has its documented result and effect")
{
    struct row {
        store_fault fault;
        put_status status;
        std::string value_after;
    };
    const row rows[] = {
        {store_fault::none, put_status::done, "new"},
        {store_fault::refuse, put_status::refused, "old"},
        {store_fault::conflict, put_status::conflict, "old"},
        {store_fault::lose_response, put_status::unknown, "new"},
        {store_fault::lose_request, put_status::unknown, "old"},
        {store_fault::late_write, put_status::unknown, "old"},
    };
    for (const auto& it : rows) {
        manual_clock clock;
        fake_key_value_store store{clock};
        const auto revision = store.put("k", "old");
        store.set_faults({it.fault});
        put_result result;
        bool is_called = false;
        store.compare_and_swap("k", revision, "new", {}, [&](const put_result& r) {
            result = r;
            is_called = true;
        });
        CHECK_FALSE(is_called);
        store.run();
        CHECK(is_called);
        CHECK(result.status == it.status);
        CHECK(store.value("k") == it.value_after);
        clock.advance(fake_key_value_store::late_write_delay);
        store.run();
        CHECK(store.value("k") == (it.fault == store_fault::late_write ? "new" : it.value_after));
    }
}

TEST_CASE("fake store: an expired lease deletes its keys and can't be renewed")
{
    manual_clock clock;
    fake_key_value_store store{clock};
    std::string lease;
    store.grant_lease(1s, [&](const lease_result& r) { lease = r.lease_id; });
    store.run();
    store.compare_and_swap("k", 0, "v", lease, [](const put_result&) {});
    store.run();
    CHECK(store.contains("k"));
    clock.advance(1s);
    lease_result renewal;
    store.renew_lease(lease, [&](const lease_result& r) { renewal = r; });
    store.run();
    CHECK(renewal.is_lost);
    CHECK_FALSE(store.contains("k"));
}

TEST_CASE("fake store: a watch ends on a change, on a timeout and on an outage")
{
    manual_clock clock;
    fake_key_value_store store{clock};
    std::vector<get_status> seen;
    const auto add_status = [&](const get_result& r) { seen.push_back(r.status); };
    const auto revision = store.put("k", "a");
    store.watch("k", revision, 10s, add_status);
    store.run();
    CHECK(seen.empty());
    store.put("k", "b");
    store.run();
    store.watch("k", store.revision("k"), 10s, add_status);
    clock.advance(10s);
    store.run();
    store.watch("k", store.revision("k"), 10s, add_status);
    store.set_down(true);
    store.run();
    CHECK(seen ==
          std::vector<get_status>{get_status::found, get_status::unchanged, get_status::failed});
}
