#include "idempotency/outcome_table.h"

#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::idempotency;

namespace {

const outcome done{200, "text/plain", "body", verdict::ran, true};
const outcome not_done{0, {}, {}, verdict::not_run, false};

} // namespace

TEST_CASE("a second request with a key of the same account joins, gets the outcome or is refused")
{
    manual_clock clock;
    outcome_table table{{}};
    int joined = 0;
    const auto begin = [&](const char* account, const char* body) {
        return table.begin(
            account, "key", body, false,
            [&](const outcome& result) { joined += result.http_status == 200 ? 1 : 100; },
            clock.now());
    };
    CHECK(begin("a", "x").status == begin_status::started);
    CHECK(begin("a", "x").status == begin_status::joined);
    CHECK(begin("a", "y").status == begin_status::other_body);
    CHECK(begin("b", "y").status == begin_status::started);
    table.finish("a", "key", done, clock.now());
    CHECK(joined == 1);
    CHECK(begin("a", "x").status == begin_status::finished);
    CHECK(begin("a", "x").recorded.body == "body");
    CHECK(begin("a", "y").status == begin_status::other_body);
    CHECK(begin("b", "y").status == begin_status::joined);
    clock.advance(std::chrono::hours{25});
    CHECK(begin("a", "y").status == begin_status::started);
    CHECK(begin("b", "y").status == begin_status::joined); // in progress, so never expired
}

TEST_CASE("an abandoned request can be retried with the same claim id, a finished one never")
{
    manual_clock clock;
    outcome_table table{{}};
    const auto first = table.begin("a", "key", "x", true, {}, clock.now());
    table.abandon("a", "key", not_done, clock.now());
    const auto second = table.begin("a", "key", "x", true, {}, clock.now());
    CHECK(second.status == begin_status::started);
    CHECK(second.claim_id == first.claim_id);
    table.finish("a", "key", done, clock.now());
    table.abandon("a", "key", not_done, clock.now());
    CHECK(table.begin("a", "key", "x", true, {}, clock.now()).status == begin_status::finished);
}

TEST_CASE("memory is bounded: old bodies and entries are evicted; if all must be kept, requests "
          "are refused")
{
    manual_clock clock;
    outcome_limits limits;
    limits.max_entries = 10;
    limits.max_body_bytes = 20;
    limits.max_one_body = 8;
    outcome_table table{limits};
    const auto use = [&](int i, bool must_keep, const std::string& body) {
        const auto key = std::to_string(i);
        const auto begun = table.begin("a", key, "x", must_keep, {}, clock.now());
        if (begun.status == begin_status::started) {
            table.finish("a", key, {200, "", body, verdict::ran, true}, clock.now());
        }
        return begun.status;
    };
    for (int i = 0; i < 30; ++i) {
        CHECK(use(i, false, "1234567") == begin_status::started);
        CHECK(table.body_bytes() <= 20);
        CHECK(table.size() <= 10);
    }
    const auto recorded = table.begin("a", "25", "x", false, {}, clock.now()).recorded;
    CHECK(recorded.http_status == 200);
    CHECK_FALSE(recorded.is_body_kept);
    CHECK(use(30, false, "123456789") == begin_status::started);
    CHECK_FALSE(table.begin("a", "30", "x", false, {}, clock.now()).recorded.is_body_kept);
    for (int i = 40; i < 50; ++i) {
        CHECK(use(i, true, "") == begin_status::started);
    }
    CHECK(use(60, false, "") == begin_status::full);
    CHECK(use(45, true, "") == begin_status::finished);
    clock.advance(limits.kept_retention);
    CHECK(use(60, false, "") == begin_status::started);
}
