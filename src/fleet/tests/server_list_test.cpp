#include "fleet/server_list.h"

#include "peer/wire.h"

#include <doctest/doctest.h>
#include <map>
#include <optional>

using namespace almondline;
using namespace almondline::fleet;
using namespace std::chrono_literals;

namespace {

listed_instance server(const std::string& id, bool is_leaving = false)
{
    listed_instance it;
    it.id = id;
    it.service = "chat";
    it.engine_class = "chat";
    it.address = "127.0.0.1:9";
    it.is_leaving = is_leaving;
    it.incarnation = 1;
    return it;
}

/// Instance list whose calls are answered by the test.
struct fake_list final : watched_instance_list {
    void fetch(handler done) override
    {
        reads += 1;
        read = std::move(done);
    }
    void watch(std::uint64_t after_revision, std::chrono::milliseconds, watch_handler done) override
    {
        watches += 1;
        watched_after = after_revision;
        watched = std::move(done);
    }

    store_health health() const override { return state; }

    store_health state;
    int reads = 0;
    int watches = 0;
    std::uint64_t watched_after = 0;
    handler read;
    watch_handler watched;
};

/// An instance that follows the list, with the messages that it sent.
struct follower {
    explicit follower(const manual_clock& time)
        : clock{time}, list{source,
                            time,
                            {},
                            {[this] { changes += 1; }, [this] { return peers; },
                             [this] { return watchers; },
                             [this](const std::string& to, const wire::envelope& message) {
                                 sent.emplace_back(to, message);
                             }}}
    {
    }

    void answer_read(const std::vector<listed_instance>& servers, std::uint64_t revision)
    {
        std::exchange(source.read, {})({true, revision, servers, {}, source.state.era});
    }
    void fail_read() { std::exchange(source.read, {})({false, 0, {}, "timeout"}); }
    void answer_watch(std::vector<instance_change> content, std::uint64_t revision)
    {
        std::exchange(source.watched,
                      {})({watch_status::done, revision, std::move(content), {}, source.state.era});
    }
    void end_watch(watch_status status) { std::exchange(source.watched, {})({status, 0, {}, {}}); }
    bool is_usable(const std::string& id) const
    {
        return may_dispatch(list.servers(), id, clock.now());
    }

    const manual_clock& clock;
    fake_list source;
    std::vector<std::string> peers;
    std::vector<std::string> watchers;
    std::vector<std::pair<std::string, wire::envelope>> sent;
    int changes = 0;
    server_list list;
};

struct fixture {
    void run_for(std::chrono::milliseconds time)
    {
        const auto end = clock.now() + time;
        while (clock.now() < end) {
            clock.advance(50ms);
            self.list.tick(clock.now());
            peer.list.tick(clock.now());
        }
    }

    /// Runs until both instances know the servers and those that watch the list wait for changes.
    void synchronize(const std::vector<listed_instance>& servers, bool is_self_watching = true)
    {
        for (int i = 0; i < 100; ++i) {
            run_for(50ms);
            for (auto* it : {&self, &peer}) {
                if (it->source.read) {
                    it->answer_read(servers, 10);
                }
                if (!is_self_watching) {
                    deliver();
                }
                if (it->source.watched && !is_complete(it->list.servers(), clock.now())) {
                    it->answer_watch({}, 10);
                }
            }
        }
        for (auto* it : {&self, &peer}) {
            REQUIRE(is_complete(it->list.servers(), clock.now()));
            if (it == &peer || is_self_watching) {
                REQUIRE(it->source.watched);
                it->answer_watch({}, 10);
            }
        }
        run_for(50ms);
    }

    /// Delivers the messages that the two instances sent to each other.
    void deliver()
    {
        for (auto& [to, message] : std::exchange(self.sent, {})) {
            peer.list.handle("self", message, clock.now());
        }
        for (auto& [to, message] : std::exchange(peer.sent, {})) {
            self.list.handle("peer", message, clock.now());
        }
    }

    manual_clock clock;
    follower self{clock};
    follower peer{clock};
};

} // namespace

// Every call is charged for, and the number of calls grows with the fleet.
TEST_CASE("a list that does not change is watched instead of read again")
{
    fixture f;
    f.synchronize({server("a")});
    const int reads = f.self.source.reads;
    const int watches = f.self.source.watches;
    for (int i = 0; i < 5; ++i) {
        f.run_for(2s);
        f.self.answer_watch({}, 10);
    }
    f.run_for(50ms);
    CHECK(f.self.source.reads == reads);
    CHECK(f.self.source.watches == watches + 5);
    CHECK(f.self.is_usable("a"));
}

TEST_CASE("changes from a watch are applied immediately and the next watch starts after them")
{
    fixture f;
    f.synchronize({server("a"), server("b")});
    const int changes = f.self.changes;
    f.self.answer_watch({{"a", 11, server("a", true)}, {"b", 12, std::nullopt}}, 12);
    CHECK_FALSE(f.self.is_usable("a"));
    CHECK_FALSE(f.self.is_usable("b"));
    CHECK(f.self.changes == changes + 1);
    f.run_for(500ms);
    CHECK(f.self.source.watched_after == 12);
}

// Events that such a watch did not deliver are lost, so a server may have left unnoticed.
TEST_CASE("the list is read again when a watch fails or its history is gone")
{
    fixture f;
    f.synchronize({server("a"), server("b")});
    for (const auto it : {watch_status::failed, watch_status::history_gone}) {
        f.self.end_watch(it);
        f.run_for(50ms);
        REQUIRE(f.self.source.read);
        f.self.answer_read({server("a")}, 20);
        CHECK_FALSE(f.self.is_usable("b"));
        f.run_for(500ms);
        REQUIRE(f.self.source.watched);
    }
}

// Leases expire while the store is down although the servers are running.
TEST_CASE("entries that are missing after an outage are kept until they had time to reappear")
{
    fixture f;
    f.synchronize({server("a"), server("b")});
    f.run_for(2500ms);
    f.self.end_watch(watch_status::failed);
    f.run_for(2s);
    f.self.fail_read();
    f.run_for(500ms);
    f.self.answer_read({server("a")}, 20);
    CHECK(f.self.is_usable("b"));
    f.run_for(2s);
    REQUIRE(f.self.source.watched);
    f.self.answer_watch({{"b", 21, std::nullopt}, {"c", 22, server("c")}}, 22);
    CHECK(f.self.is_usable("b"));
    CHECK(f.self.is_usable("c"));
    f.run_for(600ms);
    if (f.self.source.watched) {
        f.self.answer_watch({}, 22);
        f.run_for(500ms);
    }
    REQUIRE(f.self.source.read);
    f.self.answer_read({server("a")}, 23);
    CHECK_FALSE(f.self.is_usable("b"));
}

// A watch may survive an outage in which all entries expired, and report them as removed
// afterwards.
TEST_CASE("changes from a watch that was started before the service failed are ignored")
{
    fixture f;
    f.synchronize({server("a")});
    f.run_for(1s);
    f.self.source.state.last_answer = f.clock.now();
    f.run_for(2s);
    f.self.source.state.last_failure = f.clock.now();
    f.self.answer_watch({{"a", 20, std::nullopt}}, 20);
    CHECK(f.self.is_usable("a"));
    f.run_for(50ms);
    REQUIRE(f.self.source.read);
    f.self.answer_read({}, 21);
    CHECK(f.self.is_usable("a"));
}

// The watch's connection may never deliver anything again.
TEST_CASE("a watch that does not end is abandoned when another call to the service fails")
{
    fixture f;
    f.synchronize({server("a")});
    f.run_for(1s);
    f.self.source.state.last_answer = f.clock.now();
    f.run_for(500ms);
    f.self.source.state.last_failure = f.clock.now();
    const auto late = f.self.source.watched;
    f.run_for(50ms);
    REQUIRE(f.self.source.read);
    f.self.answer_read({server("b")}, 20);
    CHECK(f.self.is_usable("b"));
    late({watch_status::done, 30, {{"b", 30, std::nullopt}}, {}});
    CHECK(f.self.is_usable("b"));
}

// A server left while three instances could not read the list. They kept it for another 2.5 s after
// the list was readable again, although the limit is 2 s.
TEST_CASE("a server that left while only this instance could not read the list is dropped promptly")
{
    fixture f;
    f.self.peers = {"peer"};
    f.synchronize({server("a"), server("b")});
    f.run_for(1s);
    f.self.end_watch(watch_status::failed);
    f.peer.answer_watch({{"b", 11, std::nullopt}}, 11);
    f.run_for(500ms);
    f.deliver();
    f.deliver();
    CHECK(f.self.is_usable("a"));
    CHECK_FALSE(f.self.is_usable("b"));
    f.run_for(2s);
    f.peer.answer_watch({}, 11);
    f.run_for(500ms);
    f.deliver();
    f.deliver();
    f.self.answer_read({server("a")}, 12);
    CHECK(is_complete(f.self.list.servers(), f.clock.now()));
}

// Otherwise a restarted instance would make the others drop all servers whose entries expired.
TEST_CASE(
    "an instance that can't tell expired entries from servers that left sends no list to others")
{
    fixture f;
    f.self.peers = {"peer"};
    f.synchronize({server("a")});
    f.self.end_watch(watch_status::failed);
    f.peer.end_watch(watch_status::failed);
    f.run_for(2500ms);
    f.peer.answer_read({}, 30);
    f.run_for(1s);
    f.deliver();
    f.deliver();
    CHECK(f.self.is_usable("a"));
}

// The total number of calls grew with the fleet when all 295 instances watched one list.
TEST_CASE("an instance makes no calls of its own while others watch the list on its behalf")
{
    fixture f;
    f.self.peers = f.self.watchers = {"peer"};
    f.synchronize({server("a"), server("b")}, false);
    const int reads = f.self.source.reads;
    const int watches = f.self.source.watches;
    f.peer.answer_watch({{"b", 11, std::nullopt}}, 11);
    for (int i = 0; i < 40; ++i) {
        f.run_for(50ms);
        f.deliver();
    }
    CHECK(f.self.is_usable("a"));
    CHECK_FALSE(f.self.is_usable("b"));
    CHECK(f.self.source.reads == reads);
    CHECK(f.self.source.watches == watches);
}

TEST_CASE("an instance reads the list itself when the instances that watch it don't reply")
{
    fixture f;
    f.self.peers = f.self.watchers = {"peer"};
    f.synchronize({server("a")}, false);
    const int reads = f.self.source.reads;
    f.run_for(4s); // messages are not delivered
    CHECK(f.self.source.reads == reads + 1);
    REQUIRE(f.self.source.read);
    f.self.answer_read({}, 40);
    CHECK_FALSE(f.self.is_usable("a"));
}

// A list without servers would make it refuse all requests.
TEST_CASE("an instance that has read nothing learns nothing from one whose list is unreliable")
{
    fixture f;
    f.synchronize({server("a")});
    f.peer.end_watch(watch_status::failed);
    follower late{f.clock};
    late.peers = {"peer"};
    late.list.tick(f.clock.now());
    late.fail_read();
    late.list.tick(f.clock.now());
    REQUIRE(late.sent.size() == 1);
    f.peer.list.handle("late", late.sent.front().second, f.clock.now());
    REQUIRE(f.peer.sent.size() == 1);
    CHECK(late.list.handle("peer", f.peer.sent.front().second, f.clock.now()));
    CHECK_FALSE(late.list.is_known());
}

// With a store that turned some instances away, a follower asked such watchers one after the other,
// a second apart, and kept a server that had left for more than 3 s.
TEST_CASE("a follower asks another watcher soon if one can't read the list")
{
    fixture f;
    f.self.peers = f.self.watchers = {"peer", "other"};
    f.synchronize({server("a")}, false);
    f.peer.end_watch(watch_status::failed);
    f.self.sent.clear();
    while (f.self.sent.empty() || f.self.sent.back().first != "peer") {
        f.run_for(50ms);
    }
    f.deliver();
    f.run_for(150ms);
    REQUIRE(f.self.sent.size() == 1);
    CHECK(f.self.sent.back().first == "other");
}

TEST_CASE("an instance that starts during a store outage gets the list from another instance")
{
    fixture f;
    f.synchronize({server("a")});
    follower late{f.clock};
    late.peers = {"peer"};
    late.list.tick(f.clock.now());
    late.fail_read();
    CHECK_FALSE(late.list.is_known());
    late.list.tick(f.clock.now());
    REQUIRE(late.sent.size() == 1);
    f.peer.list.handle("late", late.sent.front().second, f.clock.now());
    REQUIRE(f.peer.sent.size() == 1);
    CHECK(late.list.handle("peer", f.peer.sent.front().second, f.clock.now()));
    CHECK(late.list.is_known());
    CHECK(late.is_usable("a"));
    CHECK(late.list.servers().replicas.at("a").info.service == "chat");
}

TEST_CASE("the list is read again in a new era, and changes of its watch are not skipped")
{
    fixture f;
    f.synchronize({server("a"), server("b")});
    f.self.source.state.era = 2;
    // The watch started from revision 10 of the earlier era and reports what follows in this one.
    f.self.answer_watch({{"b", 11, server("b", true)}}, 11);
    f.run_for(600ms);
    REQUIRE(f.self.source.read);
    f.self.answer_read({server("a", true), server("b")}, 4);
    CHECK_FALSE(f.self.is_usable("a"));
    CHECK(f.self.is_usable("b"));
    f.run_for(600ms);
    CHECK(f.self.source.watched_after == 4);
}

TEST_CASE("instances that learn of a new era at different times do not take each other back")
{
    fixture f;
    f.synchronize({server("a"), server("b")});
    f.self.peers = {"peer"};
    f.peer.peers = {"self"};
    f.self.source.state.era = 2;
    f.self.end_watch(watch_status::history_gone);
    f.run_for(600ms);
    f.self.answer_read({server("a", true), server("b")}, 4);
    f.run_for(3s);
    f.self.answer_watch({}, 4);
    f.run_for(600ms);
    // The instance of the later era asks the other one while it can't read the list.
    f.self.source.state.last_failure = f.clock.now();
    f.run_for(600ms);
    f.deliver();
    f.deliver();
    CHECK_FALSE(f.self.is_usable("a"));
    CHECK(f.self.list.servers().revision == 4);
    CHECK(f.self.list.servers().era == 2);
}
