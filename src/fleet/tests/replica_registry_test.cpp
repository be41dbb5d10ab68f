#include "fleet/replica_registry.h"

#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::fleet;
using namespace std::chrono_literals;

namespace {

listed_instance server(const std::string& id, bool is_leaving = false, std::int64_t incarnation = 1)
{
    listed_instance it;
    it.id = id;
    it.service = "chat";
    it.address = "127.0.0.1:9";
    it.is_leaving = is_leaving;
    it.incarnation = incarnation;
    return it;
}

struct fixture {
    bool read(const std::vector<listed_instance>& servers)
    {
        return apply_read(registry, servers, ++revision, clock.now());
    }
    bool is_usable(const std::string& id) const { return may_dispatch(registry, id, clock.now()); }

    manual_clock clock;
    replica_registry registry;
    std::uint64_t revision = 10;
};

} // namespace

TEST_CASE("a server that is leaving or missing from the list gets no more requests")
{
    fixture f;
    CHECK(f.read({server("a"), server("b")}));
    CHECK(f.is_usable("a"));
    f.clock.advance(500ms);
    CHECK(f.read({server("a", true)}));
    CHECK_FALSE(f.is_usable("a"));
    CHECK_FALSE(f.is_usable("b"));
    CHECK_FALSE(f.is_usable("unknown"));
}

// A late answer from before the server started to leave would bring it back into use.
TEST_CASE("a read older than the last one is ignored")
{
    fixture f;
    f.read({server("a")});
    f.read({server("a", true)});
    CHECK_FALSE(apply_read(f.registry, {server("a")}, f.revision - 1, f.clock.now()));
    CHECK_FALSE(f.is_usable("a"));
}

// The list shows only seconds later that a server is leaving. It used to get requests until then.
TEST_CASE("a server that announces that it is leaving gets no more requests until it restarts")
{
    fixture f;
    f.read({server("a")});
    CHECK(note_leaving(f.registry, "a"));
    CHECK_FALSE(note_leaving(f.registry, "a"));
    CHECK_FALSE(f.is_usable("a"));
    f.read({server("a")});
    CHECK_FALSE(f.is_usable("a"));
    f.read({server("a", false, 2)});
    CHECK(f.is_usable("a"));
}

// An overloaded server that asked for back-off used to get requests nonetheless.
TEST_CASE("a server that asks for back-off gets no requests until the back-off ends")
{
    fixture f;
    f.read({server("a"), server("b")});
    note_backoff(f.registry, "a", f.clock.now() + 800ms);
    note_backoff(f.registry, "a", f.clock.now() + 300ms);
    f.clock.advance(500ms);
    f.read({server("a"), server("b")});
    CHECK_FALSE(f.is_usable("a"));
    CHECK(f.is_usable("b"));
    CHECK(replicas_in_backoff(f.registry, "chat", f.clock.now()) == std::vector<std::string>{"a"});
    CHECK(replicas_in_backoff(f.registry, "other", f.clock.now()).empty());
    f.clock.advance(300ms);
    CHECK(f.is_usable("a"));
    CHECK(replicas_in_backoff(f.registry, "chat", f.clock.now()).empty());
}

// Leases expire while the store is down although the servers are running. Dropping all of them
// would leave the callers without service for the two seconds that the entries need to reappear.
TEST_CASE("entries that expired during an outage are kept until they had time to reappear")
{
    fixture f;
    f.read({server("a"), server("b")});
    f.clock.advance(5s);
    start_return_grace(f.registry, f.clock.now());
    f.read({});
    CHECK(f.is_usable("a"));
    f.clock.advance(1s);
    f.read({server("a")});
    CHECK(f.is_usable("b"));
    f.clock.advance(1s);
    f.read({server("a")});
    CHECK(f.is_usable("b"));
    CHECK_FALSE(is_complete(f.registry, f.clock.now()));
    f.clock.advance(1s);
    f.read({server("a")});
    CHECK(is_complete(f.registry, f.clock.now()));
    CHECK(f.is_usable("a"));
    CHECK_FALSE(f.is_usable("b"));
}

// The late result of a watch would otherwise undo a newer read.
TEST_CASE("a change is applied once, and only if it is newer than the last read")
{
    fixture f;
    f.read({server("a"), server("b")});
    const auto at = f.revision;
    CHECK_FALSE(apply_changes(f.registry, {{"a", at, std::nullopt}}, f.clock.now()));
    CHECK(f.is_usable("a"));
    CHECK(apply_changes(f.registry, {{"a", at + 1, server("a", true)}, {"b", at + 2, std::nullopt}},
                        f.clock.now()));
    CHECK_FALSE(f.is_usable("a"));
    CHECK_FALSE(f.is_usable("b"));
    CHECK_FALSE(apply_read(f.registry, {server("b")}, at, f.clock.now()));
    CHECK_FALSE(f.is_usable("b"));
    CHECK(apply_changes(f.registry, {{"c", at + 3, server("c")}}, f.clock.now()));
    CHECK(f.is_usable("c"));
}

// A watched list is read only once. Its registry used to keep every server that ever left.
TEST_CASE("a server that left is removed after a minute, even if the list is only watched")
{
    fixture f;
    f.read({server("a"), server("b")});
    apply_changes(f.registry, {{"a", ++f.revision, std::nullopt}}, f.clock.now());
    f.clock.advance(59s);
    apply_changes(f.registry, {}, f.clock.now());
    CHECK(f.registry.replicas.contains("a"));
    f.clock.advance(2s);
    apply_changes(f.registry, {}, f.clock.now());
    CHECK_FALSE(f.registry.replicas.contains("a"));
    CHECK(f.is_usable("b"));
}

TEST_CASE("a server that restarts under the same id after leaving gets requests again")
{
    fixture f;
    f.read({server("a", true)});
    f.read({});
    CHECK(f.read({server("a", false, 2)}));
    CHECK(f.is_usable("a"));
}

TEST_CASE("a server that left does not come back when a late read still contains it")
{
    fixture f;
    f.read({server("a", true)});
    f.read({});
    f.read({server("a", false)});
    CHECK_FALSE(f.is_usable("a"));
}

TEST_CASE("a list of a later era is applied although its revision is lower")
{
    fixture f;
    start_era(f.registry, 1, f.clock.now());
    f.read({server("a"), server("b")});
    start_era(f.registry, 2, f.clock.now());
    CHECK(apply_read(f.registry, {server("a", true), server("c")}, 3, f.clock.now()));
    CHECK_FALSE(f.is_usable("a"));
    CHECK(f.is_usable("c"));
    // Its record is not in the copy, and its server has not written it again yet.
    CHECK(f.is_usable("b"));
    f.clock.advance(f.registry.settings.return_grace);
    CHECK(apply_read(f.registry, {server("a", true), server("c")}, 4, f.clock.now()));
    CHECK_FALSE(f.is_usable("b"));
}

TEST_CASE("a server that left does not return with an older copy of the list")
{
    struct row {
        const char* name;
        std::int64_t report_number; ///< in the copy; the last known one is 5
        std::int64_t incarnation;
        bool is_usable;
    };
    const row rows[] = {{"an older report", 3, 1, false},
                        {"the last report", 5, 1, false},
                        {"a later report", 6, 1, true},
                        {"an unknown report", 0, 1, true},
                        {"a later process", 1, 2, true}};
    for (const auto& it : rows) {
        CAPTURE(it.name);
        fixture f;
        start_era(f.registry, 1, f.clock.now());
        auto known = server("a");
        known.report_number = 5;
        f.read({known, server("b")});
        f.read({server("b")});
        REQUIRE_FALSE(f.is_usable("a"));
        start_era(f.registry, 2, f.clock.now());
        auto copied = server("a", false, it.incarnation);
        copied.report_number = it.report_number;
        apply_read(f.registry, {copied, server("b")}, 3, f.clock.now());
        CHECK(f.is_usable("a") == it.is_usable);
    }
}
