#include "balance/slice_choice.h"

#include "common/hash.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <random>

using namespace almondline;
using namespace almondline::balance;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr int slices = 8;
constexpr int slots = 70;
constexpr int holders = 32;
constexpr milliseconds duration{8'000};
constexpr milliseconds warm_up{2'000};
constexpr double seconds_per_request = 0.6;
constexpr std::uint64_t seeds = 5;
const steady_time start{std::chrono::hours{1}};

using rule = std::function<std::size_t(const load_table&, const std::vector<std::string>&,
                                       std::uint64_t, steady_time)>;

/// Many holders and slices, in which each holder gets the figure of a slice at its own time, and
/// the next one after a fixed time.
struct crowd {
    explicit crowd(std::uint64_t seed) : random{seed}
    {
        for (int i = 0; i < slices; ++i) {
            names.push_back("s/" + std::to_string(i));
        }
    }

    void refresh(milliseconds elapsed, milliseconds period, steady_time now)
    {
        std::uint64_t n = 0;
        for (auto& table : tables) {
            for (std::size_t i = 0; i < names.size(); ++i) {
                const auto phase = static_cast<std::int64_t>(stable_hash(names[i], ++n) >> 32U);
                if (elapsed.count() == 0 || (elapsed.count() + phase) % period.count() == 0) {
                    const int used = std::min(slots, load[i]);
                    note_load(table, names[i], {slots, slots - used, {load[i] - used}, 0}, now);
                }
            }
        }
    }

    /// Plays a load, relative to what all slots can serve, and returns the widest difference
    /// between two slices after the warm-up, in requests per slot.
    double widest_gap(const rule& choose, milliseconds figure_age, double relative_load)
    {
        const double per_ms = relative_load * slices * slots / 1'000 / seconds_per_request;
        std::poisson_distribution<int> arrivals{per_ms};
        double widest = 0;
        for (milliseconds t{0}; t < duration; ++t) {
            const auto now = start + t;
            refresh(t, figure_age, now);
            for (int n = arrivals(random); n > 0; --n) {
                auto& table = tables[random() % tables.size()];
                const auto chosen = choose(table, names, random(), now);
                note_sent(table, names[chosen]);
                ++load[chosen];
            }
            finish_requests();
            if (t >= warm_up) {
                const auto [least, most] = std::minmax_element(load.begin(), load.end());
                widest = std::max(widest, static_cast<double>(*most - *least) / slots);
            }
        }
        return widest;
    }

    void finish_requests()
    {
        for (auto& it : load) {
            std::binomial_distribution<int> ended{std::min(slots, it), 0.001 / seconds_per_request};
            it -= ended(random);
        }
    }

    std::mt19937_64 random;
    std::vector<std::string> names;
    std::vector<load_table> tables = std::vector<load_table>(holders);
    std::vector<int> load = std::vector<int>(slices);
};

std::size_t by_load(const load_table& table, const std::vector<std::string>& names,
                    std::uint64_t random, steady_time now)
{
    const auto chosen = choose_slice(table, names, {0, random}, now).pool;
    return static_cast<std::size_t>(std::find(names.begin(), names.end(), chosen) - names.begin());
}

std::size_t least_loaded(const load_table& table, const std::vector<std::string>& names,
                         std::uint64_t, steady_time)
{
    std::size_t best = 0;
    for (std::size_t i = 1; i < names.size(); ++i) {
        const auto load_of = [&](std::size_t n) {
            return load_ahead(table.records.at(names[n]), 0);
        };
        best = load_of(i) < load_of(best) ? i : best;
    }
    return best;
}

std::size_t at_random(const load_table&, const std::vector<std::string>& names,
                      std::uint64_t random, steady_time)
{
    return (random >> 20U) % names.size();
}

/// Returns the widest gap, as a mean of several plays.
double mean_gap(const rule& choose, double load, milliseconds figure_age)
{
    double sum = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        sum += crowd{seed}.widest_gap(choose, figure_age, load);
    }
    return sum / seeds;
}

} // namespace

// A choice of the least loaded slice by figures of a second ago sends the requests of all instances
// to the same slice, until the next figures show that it is full. A herd is a gap between slices
// that is half as wide again as without any figures.
TEST_CASE("no herd forms with figures up to 1 s old")
{
    constexpr double herd = 1.5;
    for (const double load : {0.75, 0.95, 1.05}) {
        CAPTURE(load);
        const double random = mean_gap(at_random, load, 1s);
        CHECK(mean_gap(by_load, load, 1s) <= herd * random);
        CHECK(mean_gap(by_load, load, 100ms) < random);
    }
    CHECK(mean_gap(least_loaded, 0.75, 1s) > herd * mean_gap(at_random, 0.75, 1s));
}
