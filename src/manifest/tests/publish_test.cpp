#include "common/hash.h"
#include "manifest/fetch.h"
#include "manifest/publish.h"
#include "manifest/tests/sample_manifest.h"
#include "store/tests/fake_key_value_store.h"

#include <doctest/doctest.h>

using namespace almondline;
using namespace std::chrono_literals;

namespace {

struct fixture {
    manual_clock clock;
    fake_key_value_store store{clock};
    std::vector<std::function<void()>> delayed;

    publish_options options()
    {
        publish_options it;
        it.max_retries = 4;
        it.wait = [this](std::chrono::milliseconds time, std::function<void()> action) {
            CHECK(time == 500ms);
            delayed.push_back(std::move(action));
        };
        return it;
    }

    /// Runs until the operation is done; each wait advances the manual clock.
    publish_result publish(const std::string& id, std::int64_t based_on,
                           const std::string& text = sample_manifest)
    {
        publish_result result;
        int calls = 0;
        publish_manifest(store, clock, {text, based_on, "op-" + id, id}, options(),
                         [&](const publish_result& r) {
                             result = r;
                             ++calls;
                         });
        store.run();
        while (!delayed.empty()) {
            clock.advance(500ms);
            const auto action = std::move(delayed.back());
            delayed.pop_back();
            action();
            store.run();
        }
        CHECK(calls == 1);
        return result;
    }

    fetch_result fetch()
    {
        fetch_result result;
        fetch_manifest(store, [&](const fetch_result& r) { result = r; });
        store.run();
        return result;
    }
};

} // namespace

TEST_CASE("fetch returns the published manifest with a history of at most 20 publications")
{
    fixture f;
    CHECK(f.fetch().status == fetch_status::missing);
    for (int i = 0; i < 25; ++i) {
        const auto result = f.publish("p" + std::to_string(i), i);
        CHECK(result.status == publish_status::published);
        CHECK(result.version == i + 1);
    }
    const auto fetched = f.fetch();
    CHECK(fetched.status == fetch_status::found);
    CHECK(fetched.text == sample_manifest);
    CHECK(fetched.revision == f.store.revision(manifest_pointer_key));
    CHECK(fetched.pointer.current.operator_name == "op-p24");
    CHECK(fetched.pointer.current.digest == sha256_hex(sample_manifest));
    REQUIRE(fetched.pointer.history.size() == max_history);
    CHECK(fetched.pointer.history.front().version == 24);
    // Only the bodies in the history take space in the store.
    CHECK(fetched.pointer.history.back().publish_id == "p4");
    CHECK(f.store.value(manifest_chunk_key("p4", 0)) == sample_manifest);
    CHECK(f.store.value(manifest_chunk_key("p3", 0)).empty());
    f.store.set_faults({store_fault::none, store_fault::none, store_fault::refuse});
    CHECK(f.publish("p25", 25).status == publish_status::published);
    CHECK(f.store.value(manifest_chunk_key("p4", 0)) == sample_manifest);
}

// Guards against overwriting another operator's change, and against reporting a failure after a
// lost response although the manifest is in force, or the reverse.
TEST_CASE("publish_manifest resolves races and lost responses")
{
    using enum store_fault;
    enum class rival { idle, wins_first, follows_lost_response };
    struct row {
        const char* name;
        std::vector<store_fault> faults; ///< of the body write, then of the pointer writes
        rival other;
        publish_status expected;
        std::int64_t version_in_store;
    };
    const row rows[] = {
        {"no fault", {}, rival::idle, publish_status::published, 2},
        {"body refused", {refuse}, rival::idle, publish_status::refused, 1},
        {"body response lost", {lose_response}, rival::idle, publish_status::published, 2},
        {"body request lost", {lose_request}, rival::idle, publish_status::published, 2},
        {"body written late", {late_write}, rival::idle, publish_status::published, 2},
        {"pointer refused", {none, refuse}, rival::idle, publish_status::refused, 1},
        {"pointer response lost", {none, lose_response}, rival::idle, publish_status::published, 2},
        {"pointer request lost", {none, lose_request}, rival::idle, publish_status::published, 2},
        {"pointer written late", {none, late_write}, rival::idle, publish_status::published, 2},
        {"pointer request and response lost",
         {none, lose_request, lose_response},
         rival::idle,
         publish_status::published,
         2},
        {"pointer request lost, then refused",
         {none, lose_request, refuse, refuse, refuse, refuse},
         rival::idle,
         publish_status::undecided,
         1},
        {"race", {}, rival::wins_first, publish_status::lost_race, 2},
        {"race, response lost",
         {none, lose_response},
         rival::wins_first,
         publish_status::lost_race,
         2},
        {"superseded",
         {none, lose_response},
         rival::follows_lost_response,
         publish_status::superseded,
         3},
    };
    for (const auto& it : rows) {
        CAPTURE(it.name);
        fixture f;
        REQUIRE(f.publish("base", 0).status == publish_status::published);
        const auto move_pointer = [&](std::int64_t version) {
            auto pointer = *parse_manifest_pointer(f.store.value(manifest_pointer_key));
            pointer.history.insert(pointer.history.begin(), pointer.current);
            pointer.current.version = version;
            pointer.current.publish_id = "rival";
            pointer.current.operator_name = "rival";
            f.store.put(manifest_pointer_key, format_manifest_pointer(pointer));
        };
        f.store.set_faults(it.faults);
        if (it.other == rival::wins_first) {
            f.store.before_next_write([&] { move_pointer(2); });
        }
        if (it.other == rival::follows_lost_response) {
            // Reading back after the lost response fails once, and the rival publishes in the
            // meantime.
            f.store.before_next_write([&] { f.store.fail_reads(1); });
        }
        publish_result result;
        if (it.other == rival::follows_lost_response) {
            publish_manifest(f.store, f.clock, {sample_manifest, 1, "op", "mine"}, f.options(),
                             [&](const publish_result& r) { result = r; });
            f.store.run();
            REQUIRE(f.delayed.size() == 1);
            move_pointer(3);
            f.delayed.front()();
            f.store.run();
        }
        else {
            result = f.publish("mine", 1);
        }
        CHECK(result.status == it.expected);
        const auto pointer = parse_manifest_pointer(f.store.value(manifest_pointer_key));
        CHECK(pointer->current.version == it.version_in_store);
        if (it.expected == publish_status::lost_race) {
            CHECK(result.winner == "rival");
            CHECK(result.current_version == 2);
            CHECK(result.message ==
                  "version 2 by rival is current, the change is based on version 1");
        }
        if (it.expected == publish_status::published) {
            CHECK(result.version == 2);
            CHECK(f.fetch().status == fetch_status::found);
        }
    }
}

TEST_CASE("a lost response followed by more publications than the history keeps is undecided")
{
    fixture f;
    f.store.set_faults({store_fault::none, store_fault::lose_request});
    publish_result result;
    publish_manifest(f.store, f.clock, {sample_manifest, 0, "op", "mine"}, f.options(),
                     [&](const publish_result& r) { result = r; });
    f.store.run();
    REQUIRE(f.delayed.size() == 1);
    const auto resume = f.delayed.front();
    f.delayed.clear();
    for (int i = 0; i < 22; ++i) {
        f.publish("p" + std::to_string(i), i);
    }
    resume();
    f.store.run();
    CHECK(result.status == publish_status::undecided);
}

TEST_CASE("publish_manifest refuses invalid text and an outdated base without writing")
{
    fixture f;
    CHECK(f.publish("a", 0, "{}").status == publish_status::refused);
    CHECK(f.publish("a", 4).message ==
          "the store holds no manifest, the change is based on version 4");
    f.store.set_down(true);
    CHECK(f.publish("a", 0).status == publish_status::unreachable);
    CHECK(f.store.writes() == 0);
}

TEST_CASE("a body above 1 MB is split at character boundaries and fetched completely")
{
    CHECK(split_utf8("aé", 2) == std::vector<std::string>{"a", "é"});
    CHECK(split_utf8("aé", 3) == std::vector<std::string>{"aé"});
    fixture f;
    const std::string text = sample_manifest + std::string(2 * max_store_value, ' ');
    CHECK(f.publish("big", 0, text).status == publish_status::published);
    CHECK(f.store.writes() == 4);
    CHECK(f.fetch().text == text);
}

TEST_CASE("fetch fails instead of returning a damaged or incomplete body")
{
    fixture f;
    f.publish("a", 0);
    f.store.put(manifest_chunk_key("a", 0), "other");
    CHECK(f.fetch().message == "the text does not match the digest in its pointer");
    f.store.erase(manifest_chunk_key("a", 0));
    CHECK(f.fetch().message == "chunk 0 of publication a: is missing");
    f.store.put(manifest_pointer_key, "{}");
    CHECK(f.fetch().message == "the record manifest/current is malformed");
    f.store.set_down(true);
    CHECK(f.fetch().status == fetch_status::failed);
}
