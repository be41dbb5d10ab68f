#include "common/hash.h"
#include "standins/internal/active_faults.h"
#include "standins/plain_service.h"
#include "standins/tests/service_fixture.h"

#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::standins;

namespace {

using fixture = service_fixture<plain_service, plain_options>;

constexpr steady_time start{std::chrono::hours{1}};

} // namespace

TEST_CASE("a plain service answers with the method, path and body digest of the request")
{
    fixture f;
    const auto body = f.call("POST", "/seats/4", "window", "r").response.body;
    CHECK(body == R"({"method":"POST","path":"/seats/4","body_sha256":")" + sha256_hex("window") +
                      R"(","ran":1})");
}

TEST_CASE("each fault affects the caller as documented, and the journal shows what ran")
{
    struct fault_case {
        std::string order;
        http_progress progress;
        int ran;
    };
    for (const auto& it :
         {fault_case{R"({"kind":"reset-before"})", http_progress::sent, 0},
          fault_case{R"({"kind":"reset-during"})", http_progress::answered, 1},
          fault_case{R"({"kind":"reset-after"})", http_progress::sent, 1},
          fault_case{R"({"kind":"lost-answer"})", http_progress::sent, 1},
          fault_case{R"({"kind":"delay","delay_ms":1})", http_progress::complete, 1},
          fault_case{R"({"kind":"outage"})", http_progress::complete, 0},
          fault_case{R"({"kind":"refuse-admission"})", http_progress::complete, 0},
          fault_case{R"({"kind":"outage","path":"/other"})", http_progress::complete, 1},
          fault_case{R"({"kind":"refuse-connections","for_ms":600000})",
                     http_progress::not_connected, 0}}) {
        fixture f;
        f.inject(it.order);
        CHECK(f.call("POST", "/a", "x", "r").progress == it.progress);
        if (it.progress == http_progress::not_connected) {
            continue;
        }
        const auto journal = f.call("GET", "/standin/journal").response.body;
        const std::string ran = R"("ran":)" + std::to_string(it.ran);
        CHECK((journal.find(ran) != journal.npos || it.ran == 0));
        CHECK((journal.find(R"("ran":1)") != journal.npos) == (it.ran == 1));
    }
}

TEST_CASE("silence affects requests in progress and not new connections")
{
    plain_options options;
    options.work = std::chrono::milliseconds{20};
    fixture f{options};
    f.timeouts.read = std::chrono::milliseconds{500};
    const auto results = f.call_all(
        {{"POST", "/a", {}, ""}, {"POST", "/standin/faults", {}, R"({"kind":"silence"})"}});
    CHECK(results[0].progress == http_progress::sent);
    CHECK(results[1].progress == http_progress::complete);
    CHECK(f.call("POST", "/a").progress == http_progress::complete);
}

TEST_CASE("the listener opens again after refuse-connections")
{
    fixture f;
    f.inject(R"({"kind":"refuse-connections","for_ms":50})");
    // Bounds the attempts and not the duration: the time until the port is free again varies.
    http_result result;
    for (int i = 0; i < 1000 && result.progress != http_progress::complete; ++i) {
        f.io.restart();
        f.io.run_for(std::chrono::milliseconds{5});
        result = f.call("GET", "/a");
    }
    CHECK(result.progress == http_progress::complete);
}

TEST_CASE("a fault order ends after its count or its duration")
{
    active_faults active;
    fault_order outage;
    outage.kind = fault_kind::outage;
    outage.path = "/v1";
    outage.count = 1;
    add_fault(active, outage, start);
    fault_order delay;
    delay.kind = fault_kind::delay;
    delay.duration = std::chrono::milliseconds{10};
    add_fault(active, delay, start);
    CHECK_FALSE(consume_fault(active, fault_kind::outage, "GET", "/v2", start));
    CHECK(consume_fault(active, fault_kind::outage, "GET", "/v1/kv", start));
    CHECK_FALSE(consume_fault(active, fault_kind::outage, "GET", "/v1/kv", start));
    CHECK(consume_fault(active, fault_kind::delay, "GET", "/", start));
    CHECK_FALSE(
        consume_fault(active, fault_kind::delay, "GET", "/", start + std::chrono::seconds{1}));
}

TEST_CASE("invalid fault orders are rejected")
{
    fixture f;
    for (const auto* it : {"", "{", "[]", R"({"kind":"unknown"})",
                           R"({"kind":"refuse-connections"})", R"({"kind":"outage","count":-1})"}) {
        CHECK(f.call("POST", "/standin/faults", it).response.status == 400);
    }
}
