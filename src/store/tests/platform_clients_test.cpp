#include "store/http_instance_list.h"
#include "store/tests/scripted_server.h"
#include "store/weight_store.h"

#include <doctest/doctest.h>

using namespace almondline;
using namespace std::chrono_literals;

namespace {

const http_timeouts test_timeouts{5s, 5s, 5s};

template <class Result, class Client, class... Args>
Result fetch(boost::asio::io_context& io, Client& client, const Args&... args)
{
    Result result;
    client.fetch(args..., [&](const Result& it) {
        result = it;
        io.stop();
    });
    io.restart();
    io.run();
    return result;
}

} // namespace

TEST_CASE("parse_instance_list skips invalid elements and keeps the others")
{
    const auto result = parse_instance_list(
        R"({"instances":[{"id":"e1","role":"entry","address":"127.0.0.1:1","peer_address":)"
        R"("127.0.0.1:2","failure_domain":"d1","state":"leaving"},{"id":"x","role":"other",)"
        R"("address":"127.0.0.1:1"},{"id":"y","role":"backend","address":"name:1"},7,)"
        R"({"id":"b1","role":"backend","service":"chat","engine_class":"g1","address":)"
        R"("127.0.0.1:3","failure_domain":"d2","state":"live"}]})");
    REQUIRE(result.is_ok);
    REQUIRE(result.instances.size() == 2);
    CHECK(result.instances[0].is_leaving);
    CHECK(result.instances[0].peer_address == "127.0.0.1:2");
    CHECK(result.instances[1].role == instance_role::backend);
    CHECK(result.instances[1].service == "chat");
    // Every send to an unusable peer address would fail.
    const auto unusable = parse_instance_list(
        R"({"instances":[{"id":"e1","role":"entry","address":"127.0.0.1:1","peer_address":"x"}]})");
    CHECK(unusable.is_ok);
    CHECK(unusable.instances.empty());
    for (const char* broken : {"", "{", "[]", "{}", R"({"instances":{}})"}) {
        CHECK_FALSE(parse_instance_list(broken).is_ok);
    }
}

TEST_CASE("http_instance_list fails over and does not report a failure as an empty list")
{
    boost::asio::io_context io;
    scripted_server broken{io};
    scripted_server good{io};
    broken.step = scripted_step::truncate_body;
    good.response.body = R"({"instances":[]})";
    http_instance_list both{io.get_executor(), {broken.address(), good.address()}, test_timeouts};
    CHECK(fetch<instance_list_result>(io, both).is_ok);
    http_instance_list one{io.get_executor(), {broken.address()}, test_timeouts};
    const auto failed = fetch<instance_list_result>(io, one);
    CHECK_FALSE(failed.is_ok);
    CHECK_FALSE(failed.message.empty());
}

TEST_CASE("weight_store distinguishes a rate limit, a missing name and an outage")
{
    struct row {
        int status;
        std::vector<http_header> headers;
        weight_status expected;
        std::chrono::milliseconds retry_after;
    };
    const row rows[] = {
        {200, {}, weight_status::found, 0ms},
        {404, {}, weight_status::missing, 0ms},
        {429, {{"Retry-After", "3"}}, weight_status::limited, 3s},
        {429, {}, weight_status::limited, 1s},
        {503, {}, weight_status::failed, 0ms},
    };
    for (const auto& it : rows) {
        boost::asio::io_context io;
        scripted_server server{io};
        server.response = {it.status, it.headers, "weights"};
        weight_store client{io.get_executor(), {server.address()}, test_timeouts};
        const auto result = fetch<weight_result>(io, client, std::string{"m/1"});
        CHECK(result.status == it.expected);
        CHECK(result.retry_after == it.retry_after);
        CHECK(server.requests[0].target == "/v1/weights/m%2F1");
    }
}
