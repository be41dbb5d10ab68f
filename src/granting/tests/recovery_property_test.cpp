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
constexpr milliseconds between_kills{4'500};
constexpr double tokens_per_request = 1'000;

/// Plays one random history of asks, lost, repeated and late messages, pauses and kills of the
/// granter's instance.
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

    /// The instance of the granter stops for good; another one takes over and it starts anew.
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

    void play()
    {
        steady_time last_kill = c.clock.now();
        for (int n = 0; c.elapsed() < duration; ++n) {
            // About twice what the account may use.
            for (int i = pick(5); i > 0; --i) {
                const auto holder = any_instance();
                if (c.members.at(holder)->is_running) {
                    c.ask(holder, "r" + std::to_string(n) + "-" + std::to_string(i), pick(3),
                          milliseconds{50 + pick(500)}, milliseconds{500 + pick(4'000)});
                }
            }
            if (pick(40) == 0) {
                pause_or_resume();
            }
            if (c.clock.now() - last_kill > between_kills && pick(20) == 0) {
                last_kill = c.clock.now();
                replace_granter();
            }
            c.run_for(100ms);
        }
    }

    /// Most requests that were dispatched in one window.
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

// Takeovers, lost and late messages and pauses in any order must not run a request twice, answer it
// twice, or give an account more than its allowance.
TEST_CASE("random histories keep at-most-once and the allowance")
{
    for (int seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        history it{static_cast<std::uint64_t>(seed)};
        it.play();
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
