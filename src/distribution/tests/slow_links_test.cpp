#include "distribution/tests/link_fleet.h"

#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::distribution;
using namespace almondline::distribution::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// The bound for a change to be in force everywhere is 4 s at this size. A quarter of it is the
// target without other trouble, half of it for the first large text and in a series of changes.
constexpr milliseconds target{1'000};
constexpr milliseconds relaxed_target{2'000};
constexpr int large_route_count = 1'400; ///< a text of about 0.4 MB
constexpr int initial_route_count = 30;

std::string random_name(std::mt19937_64& random)
{
    std::string out;
    for (int n = 0; n < 7; ++n) {
        out.push_back(static_cast<char>('a' + random() % 26));
    }
    return out;
}

std::string make_route(std::mt19937_64& random)
{
    return R"({"name":"r-)" + random_name(random) + R"(","hostname":")" + random_name(random) +
           R"(.example","prefix":"/)" + random_name(random) +
           R"(/","kind":"stream","timeout_ms":3000,"target_latency_ms":400,"priority":1,)"
           R"("service":"huvo11a","max_attempts":1,"public":false,"session_affinity":true,)"
           R"("resumable":false,"target_gap_ms":400},)";
}

std::string make_routes(int count, std::mt19937_64& random)
{
    std::string out;
    for (int n = 0; n < count; ++n) {
        out += make_route(random);
    }
    return out;
}

void check_in_force(const link_fleet& fleet, std::int64_t version, milliseconds limit)
{
    CAPTURE(version);
    const auto spent = fleet.time_everywhere(version);
    REQUIRE(spent.has_value());
    CHECK(*spent <= limit);
    MESSAGE("version " << version << " in force everywhere after " << spent->count() << " ms");
}

} // namespace

TEST_CASE("295 instances on slow links have a large change in force in 2 s, a small one in 1 s")
{
    for (const double mbps : {20.0, 10.0}) {
        CAPTURE(mbps);
        link_fleet f{{.link_mbps = mbps, .seed = 3}};
        std::mt19937_64 random{4};
        auto text = make_routes(initial_route_count, random);
        f.publish(1, text);
        f.run(seconds{8});
        text += make_routes(large_route_count, random);
        f.publish(2, text);
        f.run(seconds{6});
        check_in_force(f, 2, relaxed_target);
        text += make_route(random);
        f.publish(3, text);
        f.run(seconds{5});
        check_in_force(f, 3, target);
    }
}

TEST_CASE("each version of a series reaches 295 instances on slow links within 2 s")
{
    for (const double mbps : {20.0, 10.0}) {
        CAPTURE(mbps);
        link_fleet f{{.link_mbps = mbps, .seed = 5}};
        std::mt19937_64 random{6};
        auto text = make_routes(initial_route_count, random);
        f.publish(1, text);
        f.run(seconds{8});
        text += make_routes(large_route_count, random);
        f.publish(2, text);
        f.run(seconds{2});
        constexpr std::int64_t last = 11;
        for (std::int64_t version = 3; version <= last; ++version) {
            text += make_route(random);
            f.publish(version, text);
            f.run(milliseconds{600});
        }
        f.run(seconds{6});
        for (std::int64_t version = 2; version <= last; ++version) {
            check_in_force(f, version, relaxed_target);
        }
        for (const auto& [id, it] : f.instances) {
            CHECK(it.text == text);
        }
    }
}

TEST_CASE("no part of a text is sent to an instance that does not wait for it")
{
    link_fleet f{{.message_loss = 0, .seed = 7}};
    std::mt19937_64 random{8};
    auto text = make_routes(initial_route_count, random);
    f.publish(1, text);
    f.run(seconds{8});
    const auto before = f.sum(&distribution_counters::bytes_unwanted);
    text += make_routes(large_route_count, random);
    f.publish(2, text);
    f.run(seconds{6});
    check_in_force(f, 2, target);
    CHECK(f.sum(&distribution_counters::bytes_unwanted) == before);
}
