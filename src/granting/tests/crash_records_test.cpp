#include "granting/internal/crash_records.h"

#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::granting;
using namespace std::chrono_literals;

namespace {

constexpr steady_time start{1h};
const pool_owner_id first{"e1", 1};
const pool_owner_id second{"e2", 1};

struct fixture {
    std::vector<crash_batch> due(steady_time now)
    {
        return due_reports(
            records, [this](const std::string&) { return owner; }, now);
    }

    crash_records records;
    pool_owner_id owner = first;
};

} // namespace

// A new owner would let a deadly request crash three more servers before it knew it.
TEST_CASE("each new owner of a pool gets the crashes that were reported to the former one")
{
    fixture f;
    add_record(f.records, {"p", "b1", {7, 20}, start, first});
    add_record(f.records, {"p", "b2", {7, 21}, start + 1s, first});
    CHECK(f.due(start + 2s).empty());
    f.owner = {};
    CHECK(f.due(start + 3s).empty());
    f.owner = second;
    const auto batches = f.due(start + 4s);
    REQUIRE(batches.size() == 1);
    CHECK(batches[0].owner_id == "e2");
    REQUIRE(batches[0].crashes.size() == 2);
    CHECK(batches[0].crashes[0].suspects == fingerprints{7, 20});
    CHECK(batches[0].crashes[0].age == 4s);
    CHECK(batches[0].crashes[1].age == 3s);
    CHECK(f.due(start + 4s + 50ms).empty());
    CHECK(f.due(start + 5s).size() == 1);
    CHECK(f.due(start + 60s).empty());
}

TEST_CASE("what was answered since a crash is not reported")
{
    fixture f;
    add_record(f.records, {"p", "b1", {7, 20}, start, first});
    add_record(f.records, {"p", "b2", {20}, start, first});
    remove_answered(f.records, {20, 30});
    f.owner = second;
    const auto batches = f.due(start + 1s);
    REQUIRE(batches.size() == 1);
    REQUIRE(batches[0].crashes.size() == 1);
    CHECK(batches[0].crashes[0].suspects == fingerprints{7});
}

TEST_CASE("old crashes are forgotten, and their number is bounded")
{
    fixture f;
    for (int n = 0; n < 1'000; ++n) {
        add_record(f.records, {"p", "b1", {7}, start, first});
    }
    CHECK(f.records.all.size() == f.records.max_records);
    f.owner = second;
    CHECK(f.due(start + f.records.memory + 1ms).empty());
    CHECK(f.records.all.empty());
}
