#include "balance/slice_choice.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace almondline;
using namespace almondline::balance;
using namespace std::chrono_literals;

namespace {

constexpr int draws = 4'000;
const steady_time start{std::chrono::hours{1}};
const std::vector<std::string> four{"s/0", "s/1", "s/2", "s/3"};

slice_load busy(int used, std::vector<int> waiting = {}, int lowest_running = slice_load::none)
{
    return {100, 100 - used, std::move(waiting), lowest_running};
}

/// Returns the share of the choices that each slice gets.
std::map<std::string, double> shares(const load_table& table, steady_time now, int tier = 0)
{
    std::map<std::string, double> out;
    for (std::uint64_t i = 0; i < draws; ++i) {
        out[choose_slice(table, four, {tier, i}, now).pool] += 1.0 / draws;
    }
    return out;
}

} // namespace

TEST_CASE("without figures, requests are spread evenly")
{
    const auto found = shares({}, start);
    for (const auto& it : four) {
        CHECK(found.at(it) == doctest::Approx(0.25).epsilon(0.1));
    }
    CHECK(choose_slice({}, {}, {}, start).pool.empty());
}

// A full slice got as many requests as one whose servers were all free.
TEST_CASE("a full slice gets few requests while others are free")
{
    load_table table;
    note_load(table, "s/0", busy(100, {0, 30}), start);
    note_load(table, "s/1", busy(10), start);
    note_load(table, "s/2", busy(20), start);
    note_load(table, "s/3", busy(15), start);
    CHECK(shares(table, start + 50ms, 1)["s/0"] < 0.05);
}

// Guards against all instances sending their requests to the slice that was least loaded a second
// ago.
TEST_CASE("the older the figures are, the less they count, and finally not at all")
{
    load_table table;
    note_load(table, "s/0", busy(90), start);
    for (const auto* it : {"s/1", "s/2", "s/3"}) {
        note_load(table, it, busy(60), start);
    }
    const double fresh = shares(table, start + 100ms)["s/0"];
    const double later = shares(table, start + 1s)["s/0"];
    const double old = shares(table, start + 2s)["s/0"];
    CHECK(fresh < 0.1);
    CHECK(later > fresh + 0.05);
    CHECK(later < 0.25);
    CHECK(old == doctest::Approx(0.25).epsilon(0.1));
}

// An instance that saw one slice free would send it all of its requests until the next figure.
TEST_CASE("requests that were sent since the figure arrived count as load")
{
    load_table table;
    note_load(table, "s/0", busy(0), start);
    const double before = load_ahead(table.records.at("s/0"), 0);
    for (int i = 0; i < 50; ++i) {
        note_sent(table, "s/0");
    }
    CHECK(load_ahead(table.records.at("s/0"), 0) == doctest::Approx(before + 0.5));
    note_load(table, "s/0", busy(20), start + 1ms);
    CHECK(load_ahead(table.records.at("s/0"), 0) == doctest::Approx(0.2));
}

TEST_CASE("less urgent requests that wait do not count as ahead")
{
    const load_record record{busy(100, {5, 10, 85}), start, 0};
    CHECK(load_ahead(record, 0) == doctest::Approx(1.05));
    CHECK(load_ahead(record, 1) == doctest::Approx(1.15));
    CHECK(load_ahead(record, 7) == doctest::Approx(2.0));
}

TEST_CASE("a slice without usable slots gets hardly any requests and takes none that were refused")
{
    load_table table;
    note_load(table, "s/0", {0, 0, {}, slice_load::none}, start);
    note_load(table, "s/1", busy(100), start);
    CHECK(shares(table, start + 10ms)["s/0"] < 0.05);
    CHECK(choose_overflow(table, {"s/0"}, {0, 1}, start).pool.empty());
}

// An urgent request was refused after two slices had no room, while a third one queued less urgent
// work.
TEST_CASE("a refused request goes to a slice with less urgent work or free slots")
{
    struct fault_case {
        const char* name;
        slice_load third;
        bool is_chosen;
    };
    const std::vector<fault_case> cases{
        {"full of equally urgent work", busy(100, {9}, 0), false},
        {"a less urgent request waits", busy(100, {9, 0, 1}, 0), true},
        {"less urgent work runs", busy(100, {9}, 2), true},
        {"free slots", busy(90, {}, 0), true},
        {"free slots, but more requests that wait", busy(95, {9}, 0), false},
    };
    for (const auto& it : cases) {
        CAPTURE(it.name);
        load_table table;
        for (const auto* full : {"s/0", "s/1", "s/2"}) {
            note_load(table, full, busy(100, {9}, 0), start);
        }
        note_load(table, "s/3", it.third, start);
        CHECK(choose_overflow(table, four, {0, 1}, start + 1s).pool == (it.is_chosen ? "s/3" : ""));
    }
}

TEST_CASE("a refused request goes to a slice without a figure if no other one may take it")
{
    load_table table;
    for (const auto* full : {"s/0", "s/1", "s/2"}) {
        note_load(table, full, busy(100, {9}, 0), start);
    }
    CHECK(choose_overflow(table, four, {0, 1}, start).pool == "s/3");
    note_load(table, "s/2", busy(100, {9}, 1), start);
    CHECK(choose_overflow(table, four, {0, 1}, start).pool == "s/2");
    forget_load(table, "s/2");
    CHECK(find_load(table, "s/2", start) == nullptr);
    CHECK(find_load(table, "s/1", start + 2s) == nullptr);
}
