#include "standins/internal/key_value_model.h"
#include "standins/platform_service.h"
#include "standins/tests/service_fixture.h"

#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::standins;

namespace {

using fixture = service_fixture<platform_service, platform_options>;

constexpr steady_time start{std::chrono::hours{1}};

} // namespace

TEST_CASE("compare-and-swap writes only over the expected revision")
{
    struct put_case {
        std::string target, body;
        int status;
        std::string answer;
    };
    fixture f;
    for (const auto& it : {put_case{"/v1/kv/a?expect=0", "1", 200, R"({"revision":1})"},
                           put_case{"/v1/kv/a?expect=0", "2", 409, R"({"revision":1})"},
                           put_case{"/v1/kv/dir/b?expect=0", "3", 200, R"({"revision":2})"},
                           put_case{"/v1/kv/a?expect=1", "4", 200, R"({"revision":3})"},
                           put_case{"/v1/kv/a?expect=1", "5", 409, R"({"revision":3})"},
                           put_case{"/v1/kv/missing?expect=9", "6", 409, R"({"revision":0})"}}) {
        const auto result = f.call("PUT", it.target, it.body).response;
        CHECK(result.status == it.status);
        CHECK(result.body == it.answer);
    }
    CHECK(f.call("GET", "/v1/kv/a").response.body == R"({"value":"4","revision":3})");
    CHECK(f.call("GET", "/v1/kv/dir%2Fb").response.body == R"({"value":"3","revision":2})");
    CHECK(f.call("GET", "/v1/kv/none").response.status == 404);
    CHECK(f.call("PUT", "/v1/kv/a?expect=3", std::string(1'000'001, 'x')).response.status == 413);
    CHECK(f.call("PUT", "/v1/kv/a?expect=3&lease=gone", "x").response.status == 404);
}

TEST_CASE("a watch answers when the key's revision exceeds the given one, at once or after waiting")
{
    fixture f;
    f.call("PUT", "/v1/kv/a?expect=0", "1");
    CHECK(f.call("GET", "/v1/kv/a?after=0&wait=60").response.body ==
          R"({"value":"1","revision":1})");
    CHECK(f.call("GET", "/v1/kv/gone?after=1&wait=60").response.status == 404);
    const std::vector<http_request> both{{"GET", "/v1/kv/a?after=1&wait=60", {}, ""},
                                         {"PUT", "/v1/kv/a?expect=1", {}, "2"}};
    CHECK(f.call_all(both).front().response.body == R"({"value":"2","revision":2})");
    CHECK(f.call("GET", "/standin/counts").response.body == R"({"put":2,"watch":3})");
}

TEST_CASE("keys expire with their lease, which a paused holder can't renew afterwards")
{
    key_value_model model;
    const std::chrono::milliseconds lifetime{100};
    const auto lease = grant_lease(model, lifetime, start);
    const auto first = compare_and_swap(model, "k", 0, "v", lease);
    CHECK(first.status == swap_status::done);
    CHECK(renew_lease(model, lease, start + lifetime / 2));
    CHECK_FALSE(expire_leases(model, start + lifetime));
    CHECK(expire_leases(model, start + lifetime * 3 / 2));
    CHECK(model.values.empty());
    CHECK_FALSE(renew_lease(model, lease, start + lifetime * 2));
    CHECK(compare_and_swap(model, "k", 0, "v", lease).status == swap_status::no_lease);
    CHECK(compare_and_swap(model, "k", 0, "w", {}).revision > first.revision);
}

TEST_CASE("lease calls answer 404 for a deleted lease")
{
    fixture f;
    const auto granted = f.call("POST", "/v1/leases?ttl_ms=60000").response.body;
    CHECK(granted == R"({"lease":"lease-1"})");
    CHECK(f.call("PUT", "/v1/kv/a?expect=0&lease=lease-1", "1").response.status == 200);
    CHECK(f.call("POST", "/v1/leases/lease-1/renew").response.status == 200);
    CHECK(f.call("DELETE", "/v1/leases/lease-1").response.status == 200);
    CHECK(f.call("GET", "/v1/kv/a").response.status == 404);
    CHECK(f.call("POST", "/v1/leases/lease-1/renew").response.status == 404);
    CHECK(f.call("POST", "/v1/leases?ttl_ms=x").response.status == 400);
}

TEST_CASE("rate limits allow a burst of one second and refill with time")
{
    rate_limit limit{.per_second = 2};
    CHECK(consume_token(limit, start));
    CHECK(consume_token(limit, start));
    CHECK_FALSE(consume_token(limit, start));
    CHECK(consume_token(limit, start + std::chrono::milliseconds{500}));
    CHECK_FALSE(consume_token(limit, start + std::chrono::milliseconds{500}));

    platform_options options;
    options.writes_per_second = 0.001;
    options.weights_per_second = 0.001;
    fixture f{options};
    CHECK(f.call("PUT", "/v1/kv/a?expect=0", "1").response.status == 429);
    CHECK(f.call("GET", "/v1/kv/a").response.status == 404);
    CHECK(f.call("GET", "/v1/weights/m").response.status == 429);
}

TEST_CASE("a write has no effect during an outage, but takes effect if only its answer is lost")
{
    struct fault_case {
        std::string kind;
        bool is_answered;
        int status_after; ///< of a read, after the fault order has ended
    };
    for (const auto& it : {fault_case{"outage", true, 404}, fault_case{"lost-answer", false, 200},
                           fault_case{"reset-before", false, 404}}) {
        fixture f;
        f.inject(R"({"kind":")" + it.kind + R"(","method":"PUT","path":"/v1/kv/","count":1})");
        const auto put = f.call("PUT", "/v1/kv/a?expect=0", "1");
        CHECK((put.progress == http_progress::complete) == it.is_answered);
        CHECK(f.call("GET", "/v1/kv/a").response.status == it.status_after);
    }
}

TEST_CASE("the instance list shows changes in order and only after the lag")
{
    const std::string entry = R"({"role":"backend","state":"live"})";
    fixture f;
    f.call("PUT", "/standin/instances/e1", entry);
    CHECK(f.call("GET", "/v1/instances").response.body ==
          R"({"instances":[{"role":"backend","state":"live","id":"e1"}]})");
    CHECK(f.call("PUT", "/standin/instances/e2", "[]").response.status == 400);
    f.call("POST", "/standin/settings", R"({"list_lag_ms":3600000})");
    f.call("DELETE", "/standin/instances/e1");
    CHECK(f.call("GET", "/v1/instances").response.body.find("e1") != std::string::npos);
}
