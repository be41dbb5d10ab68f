#include "gateway/answer_times.h"

#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::gateway;
using namespace std::chrono_literals;

namespace {

constexpr steady_time start{1h};

} // namespace

// An instance that stops would begin requests that it can't finish.
TEST_CASE("the slowest answer of a route says how long the next one may take")
{
    answer_time_table table;
    CHECK(!expected_time(table, "r", 0));
    note_answer_time(table, "r", {300ms, 0ms, 0}, start);
    note_answer_time(table, "r", {100ms, 500ms, 0}, start);
    note_answer_time(table, "other", {5s, 5s, 0}, start);
    CHECK(expected_time(table, "r", 0) == 800ms);
    CHECK(expected_time(table, "r", 1'000) == 800ms);
}

TEST_CASE("the time of a stream grows with its expected length")
{
    answer_time_table table;
    note_answer_time(table, "r", {200ms, 1'000ms, 100}, start);
    note_answer_time(table, "r", {100ms, 400ms, 80}, start);
    CHECK(expected_time(table, "r", 50) == 700ms);
    CHECK(expected_time(table, "r", 1'000) == 10'200ms);
    CHECK(expected_time(table, "r", 0) == 1'200ms);
}

TEST_CASE("times are forgotten after two periods")
{
    answer_time_table table;
    note_answer_time(table, "r", {5s, 0ms, 0}, start);
    note_answer_time(table, "r", {1s, 0ms, 0}, start + table.period);
    CHECK(expected_time(table, "r", 0) == 5s);
    note_answer_time(table, "r", {1s, 0ms, 0}, start + 2 * table.period);
    CHECK(expected_time(table, "r", 0) == 1s);
    note_answer_time(table, "other", {1s, 0ms, 0}, start + 4 * table.period);
    note_answer_time(table, "other", {1s, 0ms, 0}, start + 5 * table.period);
    CHECK(!expected_time(table, "r", 0));
}
