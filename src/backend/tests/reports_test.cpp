#include "backend/reports.h"

#include <doctest/doctest.h>

using namespace almondline::backend;
using almondline::routing::cache_event_kind;

TEST_CASE("parse_load_report reads the fields and clamps values out of range")
{
    const auto report = parse_load_report(
        R"({"age_ms":1500,"running":3,"waiting":-2,"kv_used_tokens":10,"kv_capacity_tokens":100,)"
        R"("leaving":true,"models":["a"]})");
    REQUIRE(report);
    CHECK(report->age == std::chrono::milliseconds{1500});
    CHECK(report->running == 3);
    CHECK(report->waiting == 0);
    CHECK(report->is_leaving);
    CHECK(report->models.size() == 1);
}

TEST_CASE("malformed reports are rejected instead of being read as zeros")
{
    for (const char* text : {"", "[]", "3", "{\"running\":"}) {
        CAPTURE(text);
        CHECK_FALSE(parse_load_report(text));
        CHECK_FALSE(parse_cache_events(text));
    }
    CHECK_FALSE(parse_cache_events(R"({"events":7})"));
}

TEST_CASE("parse_cache_events keeps sequence numbers, so that gaps can be detected")
{
    const auto batch = parse_cache_events(
        R"({"first_seq":5,"next_seq":7,"events":[{"seq":5,"kind":"stored","block":"ff"},)"
        R"({"seq":6,"kind":"evicted","block":"0a"}]})");
    REQUIRE(batch);
    CHECK(batch->first_sequence == 5);
    REQUIRE(batch->events.size() == 2);
    CHECK(batch->events[0].block == 255);
    CHECK(batch->events[1].kind == cache_event_kind::evicted);
}

TEST_CASE("values of a report are clamped to ranges that can't overflow later")
{
    // An age of 2^63 - 1 ms overflows the clock and may date the report in the future, so that all
    // later reports are ignored; a negative sequence number became 2^64 - 1.
    const auto report = parse_load_report(
        R"({"age_ms":9223372036854775807,"kv_used_tokens":1e300,"kv_capacity_tokens":1e308})");
    REQUIRE(report);
    CHECK(report->age <= std::chrono::hours{24});
    CHECK(report->kv_used_tokens <= 1e12);
    CHECK(report->kv_capacity_tokens <= 1e12);
    const auto batch =
        parse_cache_events(R"({"first_seq":-1,"next_seq":-5,"events":[{"seq":-2,"block":"1"}]})");
    REQUIRE(batch);
    CHECK(batch->first_sequence == 0);
    CHECK(batch->next_sequence == 0);
    CHECK(batch->events.at(0).sequence == 0);
}
