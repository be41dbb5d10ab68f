#include "metrics/registry.h"

#include <doctest/doctest.h>

using namespace almondline;
using namespace std::chrono_literals;

TEST_CASE("render writes counters and cumulative histogram buckets")
{
    metrics_registry metrics;
    metrics.add("requests_total", {{"tier", "urgent"}, {"verdict", "ran"}}, 2);
    metrics.observe("first_token_seconds", {{"tier", "urgent"}}, 100ms);
    metrics.observe("first_token_seconds", {{"tier", "urgent"}}, 3h);
    const auto text = metrics.render();
    CHECK(text.find("requests_total{tier=\"urgent\",verdict=\"ran\"} 2\n") != text.npos);
    CHECK(text.find("first_token_seconds_bucket{tier=\"urgent\",le=\"+Inf\"} 2\n") != text.npos);
    CHECK(text.find("first_token_seconds_bucket{tier=\"urgent\",le=\"1000\"} 1\n") != text.npos);
    CHECK(text.find("first_token_seconds_count{tier=\"urgent\"} 2\n") != text.npos);
}

TEST_CASE("label values cannot break the exposition format")
{
    metrics_registry metrics;
    metrics.add("x", {{"a", "\"} 1\ny"}});
    CHECK(metrics.render() == "x{a=\"\\\"} 1 y\"} 1\n");
}

TEST_CASE("quantile returns the upper bound of the bucket that contains it")
{
    metrics_registry metrics;
    for (int i = 0; i < 95; ++i) {
        metrics.observe("d", {}, 10ms);
    }
    for (int i = 0; i < 5; ++i) {
        metrics.observe("d", {}, 5s);
    }
    CHECK(metrics.quantile("d", {}, 0.5) < 20ms);
    CHECK(metrics.quantile("d", {}, 0.99) > 4s);
}
