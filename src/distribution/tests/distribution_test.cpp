#include "distribution/tests/distribution_fleet.h"
#include "distribution/wire_format.h"
#include "peer/wire.h"

#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::distribution;
using namespace almondline::distribution::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("100 members apply a new version within 5 s with few store calls")
{
    struct row {
        double loss;
        bool are_announcements_lost;
        std::size_t text_bytes;
    };
    const row rows[] = {{0, false, 20'000},      {0.05, false, 20'000}, {0.2, false, 20'000},
                        {0, true, 20'000},       {0.2, true, 20'000},   {0, false, 1'000'000},
                        {0.05, false, 1'000'000}};
    for (const auto& it : rows) {
        CAPTURE(it.loss);
        CAPTURE(it.are_announcements_lost);
        CAPTURE(it.text_bytes);
        distribution_fleet f{100, 3, it.loss, 5};
        f.publish(1, "first");
        f.run(seconds{20});
        f.are_announcements_lost = it.are_announcements_lost;
        REQUIRE(f.is_everywhere(1));
        const auto reads = f.store.reads();
        const auto messages = f.messages;
        const auto bytes = f.bytes;
        f.publish(2, random_text(it.text_bytes));
        const auto spent = f.time_until(2);
        CHECK(spent <= seconds{5});
        // Two watchers in each of 3 domains. Each reads one body and starts one new watch.
        CHECK(f.store.reads() - reads <= 12);
        for (const auto& [id, m] : f.instances) {
            CHECK(m.text.size() == it.text_bytes);
        }
        MESSAGE("loss " << it.loss << ", announcements lost " << it.are_announcements_lost << ", "
                        << it.text_bytes << " bytes: " << spent.count() << " ms, "
                        << f.messages - messages << " messages, " << f.bytes - bytes << " bytes, "
                        << f.store.reads() - reads << " store reads");
    }
}

TEST_CASE("only two instances of each failure domain call the store")
{
    distribution_fleet f{30, 3, 0, 7};
    f.publish(1, "first");
    f.run(seconds{10});
    int watchers = 0;
    for (const auto& [id, it] : f.instances) {
        watchers += it.distributor->is_watcher() ? 1 : 0;
        CHECK((it.distributor->store_calls() > 0) == it.distributor->is_watcher());
    }
    CHECK(watchers == 6);
}

TEST_CASE("back-off limits the calls during a store outage, and the manifest stays in force")
{
    distribution_fleet f{10, 1, 0, 9};
    f.publish(1, "first");
    f.run(seconds{5});
    f.store.set_down(true);
    const auto reads = f.store.reads();
    f.run(seconds{60});
    // With a back-off of 5 to 10 s, each of the two watchers makes 6 to 12 calls per minute.
    CHECK(f.store.reads() - reads <= 40);
    CHECK(f.is_everywhere(1));
    f.store.set_down(false);
    f.publish(2, "second");
    CHECK(f.time_until(2) <= seconds{12});
}

TEST_CASE("an instance restarted during an outage becomes ready only with its peers' version")
{
    distribution_fleet f{10, 2, 0.2, 11};
    f.publish(1, "first");
    f.run(seconds{5});
    f.publish(2, "second");
    f.run(seconds{5});
    f.store.set_down(true);
    f.start(3);
    auto& restarted = *f.instances.at("entry-3").distributor;
    CHECK_FALSE(restarted.is_ready());
    f.run(seconds{5});
    CHECK(restarted.is_ready());
    CHECK(f.instances.at("entry-3").applied == std::vector<std::int64_t>{2});
}

TEST_CASE("an outdated peer alone does not make a new instance ready")
{
    manual_clock clock;
    fake_key_value_store store{clock};
    std::vector<membership::member> members;
    for (const auto* id : {"a", "b", "c", "new"}) {
        members.emplace_back();
        members.back().id = id;
    }
    distribution_callbacks callbacks;
    callbacks.send = [](const std::string&, const message&) {};
    callbacks.live_members = [&] { return members; };
    callbacks.read_body = [](const get_result&, const auto&) {};
    callbacks.apply = [](const auto&, const std::string&, const auto& done) { done(true); };
    manifest_distributor distributor{{"new", {}, {}}, callbacks, store, clock, 1};
    store.set_down(true);
    distributor.tick(clock.now());
    const auto now = clock.now();
    distributor.receive("a", announcement{1, sha256_hex("old")}, now);
    distributor.receive("a", body_chunk{1, sha256_hex("old"), 0, 1, "old"}, now);
    CHECK(distributor.version() == 1);
    CHECK_FALSE(distributor.is_ready());
    distributor.receive("b", announcement{2, sha256_hex("new")}, now);
    distributor.receive("c", announcement{1, sha256_hex("old")}, now);
    CHECK_FALSE(distributor.is_ready());
    distributor.receive("b", body_chunk{2, sha256_hex("new"), 0, 1, "new"}, now);
    CHECK(distributor.is_ready());
    distributor.receive("a", body_chunk{1, sha256_hex("old"), 0, 1, "old"}, now);
    CHECK(distributor.version() == 2);
}

TEST_CASE("a text that does not match its digest is rejected and pulled from another peer")
{
    std::string text;
    SUBCASE("short patch in the announcement")
    {
        text = std::string(300'000, 'x');
    }
    SUBCASE("body in chunks")
    {
        text = random_text(300'000);
    }
    distribution_fleet f{20, 1, 0, 13};
    f.publish(1, "first");
    f.run(seconds{5});
    for (const auto& [id, it] : f.instances) {
        if (it.distributor->is_watcher()) {
            f.corrupting_instance = id; // a watcher, because most instances would pull from one
        }
    }
    f.publish(2, text);
    CHECK(f.time_until(2) <= seconds{5});
    std::uint64_t bad = 0;
    for (const auto& [id, it] : f.instances) {
        CHECK(it.text == text);
        bad += it.distributor->counters().bad_bodies;
    }
    CHECK(bad > 0);
}

TEST_CASE("malformed and inconsistent chunks are rejected")
{
    const body_chunk valid{2, "d", 0, 2, "a"};
    const body_chunk rows[] = {
        {1, "d", 1, 2, "b"},         {2, "e", 1, 2, "b"},
        {2, "d", 2, 2, "b"},         {2, "d", -1, 2, "b"},
        {2, "d", 1, 3, "b"},         {2, "d", 0, 1'000'000, "b"},
        {2, "d", 1, 2, "b", "base"}, {2, "d", 1, 2, std::string(max_chunk_bytes + 1, 'b')}};
    for (const auto& it : rows) {
        incoming_body body;
        body.wanted = 2;
        CHECK(add_chunk(body, valid, {}) == chunk_result::incomplete);
        CHECK(add_chunk(body, it, {}) == chunk_result::invalid);
    }
}

TEST_CASE("30 consecutive versions reach all instances and no instance reverts")
{
    distribution_fleet f{40, 3, 0.05, 17};
    for (int version = 1; version <= 30; ++version) {
        f.publish(version, "text " + std::to_string(version));
        f.run(milliseconds{300});
    }
    CHECK(f.time_until(30) <= seconds{5});
    CHECK_FALSE(f.has_reversion());
}

TEST_CASE("a version refused as invalid is neither applied nor pulled repeatedly")
{
    distribution_fleet f{6, 1, 0, 19};
    f.publish(1, "first");
    f.run(seconds{5});
    f.publish(2, "invalid");
    f.run(seconds{1});
    const auto messages = f.messages;
    f.run(seconds{20});
    CHECK(f.is_everywhere(1));
    CHECK(f.messages == messages);
    for (const auto& [id, it] : f.instances) {
        CHECK(it.refusals <= 1);
        CHECK(it.distributor->counters().pulls_finished <= 2);
    }
    f.publish(3, "third");
    CHECK(f.time_until(3) <= seconds{5});
}

TEST_CASE("distribution messages keep every field in a wire round trip")
{
    const message sent[] = {announcement{3, "d"},
                            announcement{3, "d", "base", "patch", true},
                            body_request{4},
                            body_request{4, "", true},
                            body_request{4, "base"},
                            body_request{4, "base", false, "d", 3},
                            body_chunk{5, "d", 1, 2, "text"},
                            body_chunk{5, "d", 1, 2, "text", ""},
                            body_chunk{5, "d", 1, 2, "text", "base"}};
    for (const auto& it : sent) {
        wire::envelope envelope;
        to_wire(it, envelope);
        message received;
        REQUIRE(from_wire(envelope, received));
        REQUIRE(received.index() == it.index());
        wire::envelope again;
        to_wire(received, again);
        CHECK(again == envelope);
    }
}

TEST_CASE("an instance that only understands plain bodies receives the whole text")
{
    manual_clock clock;
    fake_key_value_store store{clock};
    std::vector<body_chunk> sent;
    distribution_callbacks callbacks;
    callbacks.send = [&](const std::string&, const message& m) {
        if (const auto* chunk = std::get_if<body_chunk>(&m)) {
            sent.push_back(*chunk);
        }
    };
    callbacks.live_members = [] { return std::vector<membership::member>{}; };
    callbacks.read_body = [](const get_result&, const auto&) {};
    callbacks.apply = [](const auto&, const std::string&, const auto& done) { done(true); };
    manifest_distributor distributor{{"a", {}, {}}, callbacks, store, clock, 1};
    const auto text = random_text(700'000);
    distributor.receive("b", announcement{1, sha256_hex(text)}, clock.now());
    std::size_t offset = 0;
    for (int n = 0; n < 3; ++n, offset += max_chunk_bytes) {
        const body_chunk chunk{1, sha256_hex(text), n, 3, text.substr(offset, max_chunk_bytes)};
        distributor.receive("b", chunk, clock.now());
    }
    REQUIRE(distributor.version() == 1);
    distributor.receive("c", body_request{1}, clock.now());
    for (int n = 0; n < 20; ++n) {
        clock.advance(milliseconds{50});
        distributor.tick(clock.now());
    }
    std::string received;
    for (const auto& it : sent) {
        CHECK_FALSE(it.base_digest.has_value());
        CHECK(it.chunk_count == 3);
        received += it.data;
    }
    CHECK(received == text);
}

TEST_CASE("a text is passed on before it is checked, and a check skips versions that were replaced")
{
    manual_clock clock;
    fake_key_value_store store{clock};
    std::vector<std::int64_t> announced;
    std::vector<std::int64_t> checked;
    std::vector<std::function<void(bool)>> checks;
    std::vector<membership::member> members(3);
    members[0].id = "a";
    members[1].id = "b";
    members[2].id = "c";
    distribution_callbacks callbacks;
    callbacks.send = [&](const std::string&, const message& m) {
        if (const auto* it = std::get_if<announcement>(&m)) {
            announced.push_back(it->version);
        }
    };
    callbacks.live_members = [&] { return members; };
    callbacks.read_body = [](const get_result&, const auto&) {};
    callbacks.apply = [&](const auto& copy, const std::string&, const auto& done) {
        checked.push_back(copy->version);
        checks.push_back(done);
    };
    manifest_distributor distributor{{"a", {}, {}}, callbacks, store, clock, 1};
    distributor.tick(clock.now());
    for (std::int64_t version = 1; version <= 4; ++version) {
        const auto text = random_text(1'000, static_cast<std::uint64_t>(version));
        const auto now = clock.now();
        distributor.receive("b", announcement{version, sha256_hex(text)}, now);
        distributor.receive("b", body_chunk{version, sha256_hex(text), 0, 1, text}, now);
        CHECK(announced.back() == version);
        CHECK(distributor.version() == 0);
    }
    CHECK(checked == std::vector<std::int64_t>{1});
    checks[0](true);
    CHECK(distributor.version() == 1);
    CHECK(checked == std::vector<std::int64_t>{1, 4});
    checks[1](true);
    CHECK(distributor.version() == 4);
    CHECK(checks.size() == 2);
}

TEST_CASE("a version that arrives while an invalid one is checked is put in force")
{
    manual_clock clock;
    fake_key_value_store store{clock};
    std::vector<std::function<void(bool)>> checks;
    distribution_callbacks callbacks;
    callbacks.send = [](const std::string&, const message&) {};
    callbacks.live_members = [] { return std::vector<membership::member>{}; };
    callbacks.read_body = [](const get_result&, const auto&) {};
    callbacks.apply = [&](const auto&, const std::string&, const auto& done) {
        checks.push_back(done);
    };
    manifest_distributor distributor{{"a", {}, {}}, callbacks, store, clock, 1};
    const std::string texts[] = {"first", "invalid", "third"};
    const auto receive = [&](std::int64_t version) {
        const auto& text = texts[version - 1];
        distributor.receive("b", announcement{version, sha256_hex(text)}, clock.now());
        distributor.receive("b", body_chunk{version, sha256_hex(text), 0, 1, text}, clock.now());
    };
    receive(1);
    checks[0](true);
    receive(2);
    receive(3);
    REQUIRE(checks.size() == 2);
    checks[1](false);
    CHECK(distributor.version() == 1);
    REQUIRE(checks.size() == 3);
    checks[2](true);
    CHECK(distributor.version() == 3);
}

TEST_CASE("a member that holds the text before the invalid one receives the next version")
{
    distribution_fleet f{12, 2, 0.2, 23};
    f.publish(1, random_text(50'000, 1));
    f.run(seconds{5});
    f.publish(2, "invalid");
    f.run(milliseconds{100});
    f.publish(3, random_text(50'000, 2));
    CHECK(f.time_until(3) <= seconds{5});
    f.publish(4, random_text(50'000, 2) + "a little more");
    CHECK(f.time_until(4) <= seconds{5});
    CHECK_FALSE(f.has_reversion());
}

TEST_CASE("a restarted member has the version in force after an invalid one was published")
{
    distribution_fleet f{12, 2, 0, 29};
    f.publish(1, "first");
    f.run(seconds{5});
    f.publish(2, "invalid");
    f.run(seconds{2});
    f.store.set_down(true);
    f.start(3);
    f.run(seconds{5});
    CHECK(f.instances.at("entry-3").distributor->is_ready());
    CHECK(f.is_everywhere(1));
}

TEST_CASE(
    "versions published after a restore of the store reach all members, older ones do not return")
{
    distribution_fleet f{9, 3, 0, 11};
    f.publish(1, "first");
    f.run(seconds{3});
    const auto saved = f.store.make_backup();
    for (int n = 0; n < 50; ++n) {
        f.store.put("other", std::to_string(n));
    }
    f.publish(2, "second");
    REQUIRE(f.time_until(2) <= seconds{5});
    f.store.restore(saved);
    const auto reads = f.store.reads();
    f.run(seconds{5});
    CHECK(f.is_everywhere(2));
    CHECK(f.store.reads() - reads <= 30);
    f.publish(3, "third");
    CHECK(f.time_until(3) <= seconds{5});
    for (const auto& [id, it] : f.instances) {
        CHECK(it.applied.back() == 3);
        CHECK(std::is_sorted(it.applied.begin(), it.applied.end()));
    }
}
