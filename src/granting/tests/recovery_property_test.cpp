#include "granting/tests/granting_fixture.h"

#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::granting;

namespace {

constexpr int seeds = 60;
constexpr int instances = 4;
constexpr milliseconds duration{20'000};
constexpr milliseconds window{8'000};
/// Granters are replaced at most twice in one window.
constexpr milliseconds min_replacement_interval{4'500};
constexpr double tokens_per_request = 1'000;

/// Runs a random sequence of requests, lost, duplicated and late messages, pauses of instances and
/// replacements of the granter.
struct history {
    explicit history(std::uint64_t seed) : random{seed}, c{instances}
    {
        account_policy limited;
        limited.name = "a1";
        limited.allowance_rate = 10'000;
        limited.allowance_burst = 10'000;
        c.accounts = {limited};
        c.allowance_limits.overage = 0.1;
        c.allowance_limits.slack = 30'000;
        c.allowance_limits.window = window;
        c.allowance_cost = tokens_per_request;
        c.rule = [this](const std::string&, const std::string&, const wire::envelope&) {
            return delivery{pick(100) < loss_percent ? 0 : (pick(100) < 5 ? 2 : 1),
                            milliseconds{1 + pick(pick(20) == 0 ? 800 : 20)}};
        };
        loss_percent = pick(15);
        c.start_granter(c.owner, 4, 8);
    }

    int pick(int limit) { return std::uniform_int_distribution<>{0, limit - 1}(random); }
    std::string any_instance() { return "e" + std::to_string(1 + pick(instances)); }

    /// Destroys the granter and starts a new one at another instance, which becomes the owner.
    void replace_granter()
    {
        auto& old = *c.members.at(c.owner);
        old.own_granter.reset();
        const auto before = c.owner;
        while (c.owner == before) {
            c.owner = any_instance();
        }
        c.start_granter(c.owner, 4, 8);
    }

    void pause_or_resume()
    {
        auto& it = *c.members.at(any_instance());
        const bool is_granter = it.id == c.owner;
        it.is_running = is_granter || !it.is_running;
    }

    void run()
    {
        steady_time last_replacement = c.clock.now();
        for (int n = 0; c.elapsed() < duration; ++n) {
            // About twice as many tokens as the account may use.
            for (int i = pick(5); i > 0; --i) {
                const auto holder = any_instance();
                if (c.members.at(holder)->is_running) {
                    c.submit(holder, "r" + std::to_string(n) + "-" + std::to_string(i), pick(3),
                             milliseconds{50 + pick(500)}, milliseconds{500 + pick(4'000)});
                }
            }
            if (pick(40) == 0) {
                pause_or_resume();
            }
            if (c.clock.now() - last_replacement > min_replacement_interval && pick(20) == 0) {
                last_replacement = c.clock.now();
                replace_granter();
            }
            c.run_for(100ms);
        }
    }

    /// Returns the largest number of requests dispatched within one window.
    std::size_t most_in_window() const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t i = 0; i < c.dispatched.size(); ++i) {
            while (c.dispatched[i] - c.dispatched[first] >= window) {
                ++first;
            }
            most = std::max(most, i - first + 1);
        }
        return most;
    }

    std::mt19937_64 random;
    cluster c;
    int loss_percent = 0;
};

} // namespace

// Takeovers, lost and late messages and pauses in any order must not cause a request to run twice
// or to be answered twice, or an account to exceed its allowance.
TEST_CASE("random faults cause no second run or answer and no use beyond the allowance")
{
    for (int seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        history it{static_cast<std::uint64_t>(seed)};
        it.run();
        for (const auto& entry : it.c.records) {
            CAPTURE(entry.first);
            REQUIRE(entry.second.answers <= 1);
            REQUIRE(entry.second.dispatches <= 1);
        }
        const auto& limited = it.c.accounts.front();
        const auto& limits = it.c.allowance_limits;
        const std::chrono::duration<double> seconds = window;
        const double allowed =
            (limited.allowance_rate * seconds.count() + limited.allowance_burst) *
                (1 + limits.overage) +
            limits.slack;
        REQUIRE(static_cast<double>(it.most_in_window()) * tokens_per_request <= allowed);
        REQUIRE(it.c.dispatched.size() > 40);
    }
}
