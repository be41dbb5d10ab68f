#include "idempotency/range_owner.h"

#include "store/tests/fake_key_value_store.h"

#include <doctest/doctest.h>
#include <optional>

using namespace almondline;
using namespace almondline::idempotency;
using std::chrono::milliseconds;

namespace {

const std::string key_hash = "07000000000000000000000000000000";

// Further hashes in the same range.
std::string hash_number(int n)
{
    const auto digits = std::to_string(n);
    return "07" + std::string(30 - digits.size(), '0') + digits;
}

struct fixture {
    manual_clock clock;
    fake_key_value_store store{clock};
    owner_config config;
    std::map<std::string, claim_answer> answers;

    void claim(range_owner& owner, const std::string& id, const std::string& hash)
    {
        owner.submit(
            {id, "account", hash, "holder-" + id, 1000, "request"},
            [this, id](const claim_answer& answer) {
                CHECK(answers.count(id) == 0); // answered once
                answers[id] = answer;
            },
            clock.now());
    }

    void run(const std::vector<range_owner*>& owners, milliseconds duration)
    {
        for (milliseconds spent{0}; spent < duration; spent += milliseconds{10}) {
            for (auto* it : owners) {
                it->tick(clock.now());
            }
            store.run();
            clock.advance(milliseconds{10});
        }
    }

    std::optional<claim_status> status(const std::string& id) const
    {
        const auto it = answers.find(id);
        return it == answers.end() ? std::nullopt : std::optional{it->second.status};
    }

    claim_record record() const
    {
        claim_record parsed;
        const auto text = store.value(range_key(7));
        CHECK((text.empty() || parse_claim_record(text, parsed)));
        return parsed;
    }
};

} // namespace

TEST_CASE("every store fault leads to a correct answer and at most one recorded claim")
{
    struct row {
        std::string name;
        std::vector<store_fault> faults;
        /// The store is down after the first write; if there are no faults, already during it.
        bool is_down_after;
        claim_status status;
        bool is_recorded;
    };
    const row rows[] = {
        {"none", {}, false, claim_status::claimed, true},
        {"refused", {store_fault::refuse}, false, claim_status::refused, false},
        {"other writer", {store_fault::conflict}, false, claim_status::claimed, true},
        {"lost answer", {store_fault::lose_response}, false, claim_status::claimed, true},
        {"lost request", {store_fault::lose_request}, false, claim_status::claimed, true},
        {"late write", {store_fault::late_write}, false, claim_status::claimed, true},
        {"two lost",
         {store_fault::lose_request, store_fault::lose_response},
         false,
         claim_status::claimed,
         true},
        {"late, then refused",
         {store_fault::late_write, store_fault::refuse},
         false,
         claim_status::unknown,
         true},
        {"lost answer, then an outage",
         {store_fault::lose_response},
         true,
         claim_status::unknown,
         true},
        {"outage", {}, true, claim_status::refused, false},
    };
    for (const auto& it : rows) {
        CAPTURE(it.name);
        fixture f;
        range_owner owner{f.store, f.clock, f.config};
        f.claim(owner, "before", hash_number(1));
        f.run({&owner}, milliseconds{50});
        REQUIRE(f.status("before") == claim_status::claimed);
        f.store.set_faults(it.faults);
        if (it.is_down_after && it.faults.empty()) {
            f.store.set_down(true);
        }
        f.claim(owner, "a", key_hash);
        f.run({&owner}, milliseconds{10}); // runs the first write, but not yet the read after it
        f.store.set_down(it.is_down_after);
        f.run({&owner}, milliseconds{2000});
        CHECK(f.status("a") == it.status);
        CHECK(f.record().claims.count(key_hash) == (it.is_recorded ? 1 : 0));
        CHECK(f.record().claims.count(hash_number(1)) == 1);
        // A claim resent with its id succeeds, whether or not the first one was recorded.
        f.store.set_down(false);
        f.answers.clear();
        f.claim(owner, "a", key_hash);
        f.claim(owner, "b", key_hash);
        f.run({&owner}, milliseconds{200});
        CHECK(f.status("a") == claim_status::claimed);
        CHECK(f.status("b") == claim_status::duplicate);
        CHECK(f.answers["b"].recorded_claim_id == "a");
    }
}

TEST_CASE("two simultaneous range owners accept only one claim of a key, even if one was paused")
{
    for (const int delay_ms : {0, 5, 15, 40}) {
        for (const bool is_paused : {false, true}) {
            CAPTURE(delay_ms);
            CAPTURE(is_paused);
            fixture f;
            f.store.set_delay(milliseconds{delay_ms});
            range_owner first{f.store, f.clock, f.config};
            range_owner second{f.store, f.clock, f.config};
            f.claim(first, "before", hash_number(1));
            f.run({&first}, milliseconds{200}); // the first owner has the record in memory
            f.claim(first, "a", key_hash);
            f.claim(first, "other", hash_number(2));
            f.claim(second, "b", key_hash);
            if (is_paused) {
                f.run({&second}, milliseconds{300});
            }
            f.run({&first, &second}, milliseconds{600});
            const bool is_a = f.status("a") == claim_status::claimed;
            CHECK(f.status(is_a ? "b" : "a") == claim_status::duplicate);
            CHECK(f.answers[is_a ? "b" : "a"].holder == (is_a ? "holder-a" : "holder-b"));
            CHECK(f.record().claims[key_hash].claim_id == (is_a ? "a" : "b"));
            CHECK((!is_paused || !is_a));
            // The first owner's other claim succeeds once it has read the changed record.
            CHECK(f.status("other") == claim_status::claimed);
            CHECK(f.record().claims.size() == 3);
        }
    }
}

TEST_CASE("claims of a range share writes: 200 claims in 200 ms need at most 11 writes")
{
    fixture f;
    range_owner owner{f.store, f.clock, f.config};
    for (int i = 0; i < 200; ++i) {
        f.claim(owner, "c" + std::to_string(i), hash_number(i));
        if (i % 10 == 9) {
            f.run({&owner}, milliseconds{10});
        }
    }
    f.run({&owner}, milliseconds{50});
    CHECK(f.record().claims.size() == 200);
    CHECK(owner.counters().writes <= 11);
    CHECK(owner.counters().reads == 1);
}

TEST_CASE("claims are refused while the record is full, until older claims expire")
{
    fixture f;
    f.config.max_record_bytes = 2000;
    range_owner owner{f.store, f.clock, f.config};
    for (int i = 0; i < 40; ++i) {
        f.claim(owner, "c" + std::to_string(i), hash_number(i));
    }
    f.run({&owner}, milliseconds{100});
    CHECK(f.status("c0") == claim_status::claimed);
    CHECK(f.status("c39") == claim_status::refused);
    CHECK(f.store.value(range_key(7)).size() <= 2000);
    f.clock.advance(std::chrono::hours{25});
    f.claim(owner, "later", hash_number(50));
    f.run({&owner}, milliseconds{100});
    CHECK(f.status("later") == claim_status::claimed);
    CHECK(f.record().claims.size() == 1);
}

TEST_CASE("a malformed record is left unchanged, and claims in its range are refused")
{
    fixture f;
    f.store.put(range_key(7), "claims 2\n");
    range_owner owner{f.store, f.clock, f.config};
    f.claim(owner, "a", key_hash);
    f.claim(owner, "bad hash", "0z");
    f.run({&owner}, milliseconds{100});
    CHECK(f.status("a") == claim_status::refused);
    CHECK(f.status("bad hash") == claim_status::refused);
    CHECK(f.store.value(range_key(7)) == "claims 2\n");
}

TEST_CASE("a record keeps its claims when written and parsed, within the estimated size")
{
    claim_record record;
    for (int i = 0; i < 100; ++i) {
        record.claims[hash_number(i)] = {"id" + std::to_string(i), "entry-" + std::to_string(i % 7),
                                         1'700'000'000'000 + i % 2,
                                         std::chrono::minutes{29'000'000 + i}};
    }
    const auto text = to_text(record);
    CHECK(text.size() <= text_size(record));
    claim_record parsed;
    REQUIRE(parse_claim_record(text, parsed));
    REQUIRE(parsed.claims.size() == 100);
    CHECK(parsed.claims[hash_number(9)].holder == "entry-2");
    CHECK(parsed.claims[hash_number(9)].holder_incarnation == 1'700'000'000'001);
    CHECK_FALSE(parse_claim_record(text + "c 07 x 0 1\n", parsed));
}

TEST_CASE("a record with a time that exceeds the size estimate is rejected")
{
    // The estimate limits the size of what is written to the store.
    const std::string hash(32, 'a');
    for (const char* time : {"-1", "1000000000", "9223372036854775807"}) {
        CAPTURE(time);
        claim_record parsed;
        CHECK_FALSE(
            parse_claim_record("claims 1\nh e1 3\nc " + hash + " c1 0 " + time + "\n", parsed));
    }
}

TEST_CASE("a claim that a restore of the store took away is not given to another request")
{
    struct row {
        const char* name;
        bool
            has_other_owner; ///< the other request comes to an owner that started after the restore
    };
    for (const auto& it : {row{"same owner", false}, row{"other owner", true}}) {
        CAPTURE(it.name);
        fixture f;
        range_owner first{f.store, f.clock, f.config};
        range_owner second{f.store, f.clock, f.config};
        f.claim(first, "early", hash_number(1));
        f.run({&first}, milliseconds{200});
        const auto saved = f.store.make_backup();
        f.claim(first, "late", key_hash);
        f.run({&first}, milliseconds{200});
        REQUIRE(f.status("late") == claim_status::claimed);
        f.store.restore(saved);
        if (it.has_other_owner) {
            f.run({&first, &second}, milliseconds{200});
        }
        f.claim(it.has_other_owner ? second : first, "again", key_hash);
        f.run({&first, &second}, milliseconds{500});
        CHECK(f.status("again") == claim_status::duplicate);
        CHECK(f.record().claims.size() == 2);
    }
}

TEST_CASE("owners that write one range after a restore keep each other's claims")
{
    fixture f;
    range_owner first{f.store, f.clock, f.config};
    range_owner second{f.store, f.clock, f.config};
    const auto empty = f.store.make_backup();
    f.claim(first, "one", hash_number(1));
    f.run({&first}, milliseconds{200});
    f.claim(second, "two", hash_number(2));
    f.run({&second}, milliseconds{200});
    f.store.restore(empty);
    f.run({&first, &second}, milliseconds{500});
    CHECK(f.record().claims.size() == 2);
    const int writes = f.store.writes();
    f.run({&first, &second}, milliseconds{2'000});
    CHECK(f.store.writes() == writes);
}
