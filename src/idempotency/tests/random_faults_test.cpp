#include "idempotency/tests/guards.h"

#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::idempotency;
using namespace almondline::idempotency::tests;

namespace {

const outcome created{201, "text/plain", "stored", verdict::ran, true};
const outcome not_run{503, {}, {}, verdict::not_run, false};

/// Random requests, restarts and faults over a few keys. Counts the dispatches that may have run.
struct random_run {
    guards g;
    std::map<std::string, int> runs;                            ///< of each key
    std::vector<std::pair<std::string, keyed_request>> running; ///< instance, request
    int dispatches = 0;
    int minted = 0;
    std::vector<std::string> keys;

    explicit random_run(std::uint64_t seed) : g{limits()}
    {
        g.random.seed(seed);
        g.message_loss = 0.1;
        g.missing_member_probability = 0.2;
        // An injected conflict of the fake store rewrites the current value, which must be a valid
        // record.
        for (int i = 0; i < range_count; ++i) {
            g.store.put(range_key(i), to_text(claim_record{}));
        }
        for (int i = 0; i < 12; ++i) {
            keys.push_back("key-" + std::to_string(i));
        }
    }

    static guard_config limits()
    {
        guard_config config;
        config.outcomes.max_entries = 4; // evicts outcomes constantly
        return config;
    }

    std::string any_instance()
    {
        return std::string{static_cast<char>('a' + static_cast<char>(g.random() % 3U))};
    }

    void admit()
    {
        const auto at = any_instance();
        const keyed_request request{"account", keys[g.random() % keys.size()], "x", "request"};
        g.instances.at(at)->admit(
            request,
            [this, at, request](const admission& answer) {
                if (answer.kind == admission_kind::dispatch) {
                    ++dispatches;
                    ++runs[request.key];
                    running.emplace_back(at, request);
                }
            },
            g.clock.now());
    }

    void end_one()
    {
        if (running.empty()) {
            return;
        }
        const auto [at, request] = running.back();
        running.pop_back();
        if (g.with_probability(0.3)) {
            --runs[request.key]; // as if not admitted by the engine
            g.instances.at(at)->abandon(request, not_run, g.clock.now());
            return;
        }
        g.instances.at(at)->finish(request, created, g.clock.now());
    }

    void restart()
    {
        const auto id = any_instance();
        std::erase_if(running, [&](const auto& it) { return it.first == id; });
        g.instances.erase(id);
        g.start(id, g.incarnations[id] + 1);
    }

    void step()
    {
        admit();
        if (g.with_probability(0.3)) {
            end_one();
        }
        if (g.with_probability(0.02)) {
            restart();
        }
        if (g.with_probability(0.1)) {
            g.store.set_faults({static_cast<store_fault>(g.random() % 6U)});
        }
        if (g.with_probability(0.05)) {
            g.store.set_down(g.with_probability(0.4));
        }
        if (g.with_probability(0.1)) {
            keys[g.random() % keys.size()] = "key-" + std::to_string(g.random());
        }
        if (g.with_probability(0.1)) {
            ++minted;
            keys[g.random() % keys.size()] = g.instances.at(any_instance())->mint(g.clock.now());
        }
        g.store.set_delay(milliseconds{g.random() % 30U});
        g.run(milliseconds{10 * (1 + g.random() % 8U)});
    }
};

} // namespace

TEST_CASE(
    "no key runs twice under random restarts, store faults, message losses and differing views")
{
    int dispatches = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        random_run r{seed};
        for (int i = 0; i < 500; ++i) {
            r.step();
        }
        for (const auto& it : r.runs) {
            CAPTURE(it.first);
            CHECK(it.second <= 1);
        }
        dispatches += r.dispatches;
    }
    CHECK(dispatches > 1000); // many requests are dispatched despite the faults
    MESSAGE(dispatches << " dispatches in 20 runs");
}
