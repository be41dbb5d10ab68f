#include "idempotency/range_owner.h"

#include "store/tests/fake_key_value_store.h"

#include <doctest/doctest.h>
#include <optional>

using namespace almondline;
using namespace almondline::idempotency;
using std::chrono::milliseconds;

namespace {

const std::string key_hash = "07000000000000000000000000000000";

// A second hash of the same range.
std::string hash_number(int n)
{
    const auto digits = std::to_string(n);
    return "07" + std::string(30 - digits.size(), '0') + digits;
}

struct bench {
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

TEST_CASE("each fault of the store leads to a true answer and at most one recorded claim")
{
    struct row {
        std::string name;
        std::vector<store_fault> faults;
        bool is_down_after; ///< from the first write on
        claim_status status;
        bool is_recorded;
    };
    const row rows[] = {
        {"none", {}, false, claim_status::claimed, true},
        {"refused", {store_fault::refuse}, false, claim_status::refused, false},
        {"other writer", {store_fault::conflict}, false, claim_status::claimed, true},
        {"lost answer", {store_fault::lose_answer}, false, claim_status::claimed, true},
        {"lost request", {store_fault::lose_request}, false, claim_status::claimed, true},
        {"late write", {store_fault::late_write}, false, claim_status::claimed, true},
        {"two lost",
         {store_fault::lose_request, store_fault::lose_answer},
         false,
         claim_status::claimed,
         true},
        {"late, then refused",
         {store_fault::late_write, store_fault::refuse},
         false,
         claim_status::unknown,
         true},
        {"lost answer, then an outage",
         {store_fault::lose_answer},
         true,
         claim_status::unknown,
         true},
        {"outage", {}, true, claim_status::refused, false},
    };
    for (const auto& it : rows) {
        CAPTURE(it.name);
        bench b;
        range_owner owner{b.store, b.clock, b.config};
        b.claim(owner, "before", hash_number(1));
        b.run({&owner}, milliseconds{50});
        REQUIRE(b.status("before") == claim_status::claimed);
        b.store.set_faults(it.faults);
        if (it.is_down_after && it.faults.empty()) {
            b.store.set_down(true);
        }
        b.claim(owner, "a", key_hash);
        b.run({&owner}, milliseconds{10}); // the first write, not yet the read after it
        b.store.set_down(it.is_down_after);
        b.run({&owner}, milliseconds{2000});
        CHECK(b.status("a") == it.status);
        CHECK(b.record().claims.count(key_hash) == (it.is_recorded ? 1 : 0));
        CHECK(b.record().claims.count(hash_number(1)) == 1);
        // A claim that is sent again with its id succeeds wherever the first one got to.
        b.store.set_down(false);
        b.answers.clear();
        b.claim(owner, "a", key_hash);
        b.claim(owner, "b", key_hash);
        b.run({&owner}, milliseconds{200});
        CHECK(b.status("a") == claim_status::claimed);
        CHECK(b.status("b") == claim_status::duplicate);
        CHECK(b.answers["b"].recorded_claim_id == "a");
    }
}

TEST_CASE("two owners at once, one of them paused or not, give a key to one claim only")
{
    for (const int delay_ms : {0, 5, 15, 40}) {
        for (const bool is_paused : {false, true}) {
            CAPTURE(delay_ms);
            CAPTURE(is_paused);
            bench b;
            b.store.set_delay(milliseconds{delay_ms});
            range_owner first{b.store, b.clock, b.config};
            range_owner second{b.store, b.clock, b.config};
            b.claim(first, "before", hash_number(1));
            b.run({&first}, milliseconds{200}); // the first owner has the record in memory
            b.claim(first, "a", key_hash);
            b.claim(first, "other", hash_number(2));
            b.claim(second, "b", key_hash);
            if (is_paused) {
                b.run({&second}, milliseconds{300});
            }
            b.run({&first, &second}, milliseconds{600});
            const bool is_a = b.status("a") == claim_status::claimed;
            CHECK(b.status(is_a ? "b" : "a") == claim_status::duplicate);
            CHECK(b.answers[is_a ? "b" : "a"].holder == (is_a ? "holder-a" : "holder-b"));
            CHECK(b.record().claims[key_hash].claim_id == (is_a ? "a" : "b"));
            CHECK((!is_paused || !is_a));
            // Its other claim takes effect once it has read the moved record.
            CHECK(b.status("other") == claim_status::claimed);
            CHECK(b.record().claims.size() == 3);
        }
    }
}

TEST_CASE("claims of a range share writes: 200 claims in 200 ms take at most 11")
{
    bench b;
    range_owner owner{b.store, b.clock, b.config};
    for (int i = 0; i < 200; ++i) {
        b.claim(owner, "c" + std::to_string(i), hash_number(i));
        if (i % 10 == 9) {
            b.run({&owner}, milliseconds{10});
        }
    }
    b.run({&owner}, milliseconds{50});
    CHECK(b.record().claims.size() == 200);
    CHECK(owner.counters().writes <= 11);
    CHECK(owner.counters().reads == 1);
}

TEST_CASE("a full record refuses claims until older ones have passed the retention")
{
    bench b;
    b.config.max_record_bytes = 2000;
    range_owner owner{b.store, b.clock, b.config};
    for (int i = 0; i < 40; ++i) {
        b.claim(owner, "c" + std::to_string(i), hash_number(i));
    }
    b.run({&owner}, milliseconds{100});
    CHECK(b.status("c0") == claim_status::claimed);
    CHECK(b.status("c39") == claim_status::refused);
    CHECK(b.store.value(range_key(7)).size() <= 2000);
    b.clock.advance(std::chrono::hours{25});
    b.claim(owner, "later", hash_number(50));
    b.run({&owner}, milliseconds{100});
    CHECK(b.status("later") == claim_status::claimed);
    CHECK(b.record().claims.size() == 1);
}

TEST_CASE("a record that can't be read is left alone and its claims are refused")
{
    bench b;
    b.store.put(range_key(7), "claims 2\n");
    range_owner owner{b.store, b.clock, b.config};
    b.claim(owner, "a", key_hash);
    b.claim(owner, "bad hash", "0z");
    b.run({&owner}, milliseconds{100});
    CHECK(b.status("a") == claim_status::refused);
    CHECK(b.status("bad hash") == claim_status::refused);
    CHECK(b.store.value(range_key(7)) == "claims 2\n");
}

TEST_CASE("a record keeps its claims over its text, within the estimated size")
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

TEST_CASE("a record with a time that breaks the size estimate is refused")
{
    // The estimate bounds what is written to the store.
    const std::string hash(32, 'a');
    for (const char* time : {"-1", "1000000000", "9223372036854775807"}) {
        CAPTURE(time);
        claim_record parsed;
        CHECK_FALSE(
            parse_claim_record("claims 1\nh e1 3\nc " + hash + " c1 0 " + time + "\n", parsed));
    }
}
