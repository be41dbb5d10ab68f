#pragma once

#include "granting/tests/sliced_fleet.h"
#include "scheduling/types/token_cost.h"

#include <cmath>
#include <string>
#include <vector>

/// The second deployment of docs/design/hard-load.md: 140 replicas in 8 slices, 32 instances in 3
/// failure domains, 16 accounts of which a few are large.
namespace almondline::granting::build_farm {

constexpr int instances = 32;
constexpr int replicas = 140;
constexpr int plain_replicas = 3;
constexpr std::size_t slices = 8;
constexpr int accounts = 16;
constexpr int large_accounts = 3;
constexpr double large_share = 0.2; ///< of all requests, each
constexpr double prompt_tokens_per_ms = 38.1;
constexpr double step_ms = 4.43;
constexpr double tokens_per_event = 6;

struct kind_of_work {
    const char* name;
    double per_second;
    double prompt_tokens;
    double events;
    int tier;
    milliseconds limit;
};

inline const std::vector<kind_of_work> kinds{{"buildlog-explain", 308, 2'950, 9, 0, 5s},
                                             {"bug-triage", 219, 1'860, 4, 1, 3s},
                                             {"patch-summary", 183, 600, 47, 2, 15s}};

inline std::vector<double> account_shares()
{
    std::vector<double> out(accounts,
                            (1 - large_accounts * large_share) / (accounts - large_accounts));
    std::fill_n(out.begin(), large_accounts, large_share);
    return out;
}

/// Returns the manifest with allowances that are a multiple of the tokens that the accounts use.
inline std::shared_ptr<const manifest> make_manifest(double allowance_factor = 2)
{
    auto out = std::make_shared<manifest>();
    service_policy chat;
    chat.name = "chat";
    chat.type = service_type::model;
    service_policy mirror;
    mirror.name = "mirror";
    mirror.type = service_type::plain;
    out->services = {chat, mirror};
    out->tiers = {{"t0", 0}, {"t1", 0}, {"t2", 0}};
    double tokens = 0;
    for (const auto& it : kinds) {
        tokens += it.per_second * (it.prompt_tokens + it.events * tokens_per_event);
    }
    const auto shares = account_shares();
    for (std::size_t i = 0; i < shares.size(); ++i) {
        account_policy account;
        account.name = "a" + std::to_string(i);
        account.allowance_rate = shares[i] * tokens * allowance_factor;
        account.allowance_burst = account.allowance_rate;
        out->accounts.push_back(account);
    }
    return out;
}

inline std::vector<listed_instance> make_servers(int models = replicas)
{
    std::vector<listed_instance> out;
    for (int i = 0; i < models + plain_replicas; ++i) {
        listed_instance it;
        it.role = instance_role::backend;
        it.service = i < models ? "chat" : "mirror";
        it.id = it.service + std::to_string(i);
        it.address = "127.0.0.1:" + std::to_string(1000 + i);
        it.incarnation = 1;
        it.max_in_flight = i < models ? 4 : 6;
        out.push_back(it);
    }
    return out;
}

inline pools_settings make_settings()
{
    pools_settings out;
    out.has_common_owner = true;
    out.slices = {16, 6};
    out.yield_share = 0.5;
    out.allowances.overage = 0.1;
    out.allowances.slack = 110'000;
    out.granter.credit_lifetime = 1'500ms;
    out.granter.takeover_delay = 100ms;
    out.granter.holder_timeout = 4s;
    out.granter.routing.balance_weight = 0.02;
    out.granter.routing.slow_below = 0;
    return out;
}

/// A play of the load in virtual time.
struct play {
    explicit play(std::uint64_t seed, double load = 1,
                  std::shared_ptr<const manifest> content = make_manifest())
        : fleet{instances, std::move(content), make_servers(), make_settings(), seed},
          requests_per_step{load * 0.71}
    {
        std::uniform_real_distribution<double> speed{0.6, 1.7};
        for (auto& [id, it] : fleet.speeds) {
            it = speed(fleet.random);
        }
        fleet.rule = [](const std::string& from, const std::string& to, const wire::envelope&) {
            const bool is_same_domain = domain_of(from) == domain_of(to);
            return fleet_delivery{1, is_same_domain ? 1ms : 2ms};
        };
        slices_by_server = slice_of_servers();
    }

    static int domain_of(const std::string& id) { return std::stoi(id.substr(1)) % 3; }

    static std::map<std::string, std::size_t> slice_of_servers()
    {
        std::vector<std::string> ids;
        for (const auto& it : make_servers()) {
            if (it.service == "chat") {
                ids.push_back(it.id);
            }
        }
        std::map<std::string, std::size_t> out;
        const auto divided = divide_servers(ids, slices);
        for (std::size_t i = 0; i < divided.size(); ++i) {
            for (const auto& it : divided[i]) {
                out[it] = i;
            }
        }
        return out;
    }

    template <class T, class F>
    const T& draw(const std::vector<T>& all, F weight_of)
    {
        std::vector<double> weights;
        std::transform(all.begin(), all.end(), std::back_inserter(weights), weight_of);
        std::discrete_distribution<std::size_t> by_weight{weights.begin(), weights.end()};
        return all[by_weight(fleet.random)];
    }

    fleet_request make_request()
    {
        const auto& kind = draw(kinds, [](const auto& it) { return it.per_second; });
        fleet_request out;
        out.service = "chat";
        out.credit.request_id = "r" + std::to_string(next_request++);
        out.credit.kind = kind.name;
        out.credit.tier = kind.tier;
        static const auto shares = account_shares();
        std::discrete_distribution<int> account{shares.begin(), shares.end()};
        out.credit.account = "a" + std::to_string(account(fleet.random));
        // The average is as stated, the longest prompts are several times as long.
        std::exponential_distribution<double> prompt{1 / kind.prompt_tokens};
        out.credit.prompt_tokens = std::min(40'000.0, prompt(fleet.random));
        out.credit.output_tokens = kind.events * tokens_per_event;
        out.credit.cost =
            scheduling::token_cost(out.credit.prompt_tokens, out.credit.output_tokens);
        out.credit.allowance_cost = out.credit.prompt_tokens + out.credit.output_tokens;
        out.credit.arrived = fleet.clock.now();
        out.credit.deadline = fleet.clock.now() + kind.limit / 2;
        const double ms =
            out.credit.prompt_tokens / prompt_tokens_per_ms + out.credit.output_tokens * step_ms;
        out.work = milliseconds{static_cast<std::int64_t>(ms)};
        return out;
    }

    void submit_requests()
    {
        std::poisson_distribution<int> arrivals{requests_per_step};
        for (int i = arrivals(fleet.random); i > 0; --i) {
            auto request = make_request();
            auto holder = fleet.instances.begin();
            std::advance(holder, fleet.pick(fleet.instances.size()));
            fleet.submit(holder->first, std::move(request));
        }
    }

    /// Plays the load, and measures the usable servers if asked to.
    void run_for(milliseconds time, bool is_measured = false)
    {
        fleet.run_for(time, [&] {
            submit_requests();
            if (is_measured && ++steps % sample_steps == 0) {
                sample();
            }
        });
    }

    void sample()
    {
        std::vector<double> used(slices);
        std::vector<double> usable(slices);
        std::vector<double> sizes(slices);
        for (const auto& [id, slice] : slices_by_server) {
            used[slice] += fleet.in_use[id] / 4.0;
            usable[slice] += fleet.in_use[id] < 4 ? 1 : 0;
            sizes[slice] += 1;
        }
        for (std::size_t i = 0; i < slices; ++i) {
            used_share[i] += used[i] / sizes[i];
            usable_share[i] += usable[i] / sizes[i];
        }
        const auto [least, most] = std::minmax_element(used.begin(), used.end());
        widest_gap = std::max(widest_gap, (*most - *least) / sizes[0]);
        ++samples;
    }

    /// Returns the usable servers of the emptiest slice, relative to those of the fullest one, each
    /// as a mean over the samples.
    double imbalance() const
    {
        const auto [least, most] = std::minmax_element(usable_share.begin(), usable_share.end());
        return *most / std::max(*least, 1e-9);
    }

    static constexpr int sample_steps = 10;

    sliced_fleet fleet;
    double requests_per_step;
    std::map<std::string, std::size_t> slices_by_server;
    std::uint64_t next_request = 1;
    int steps = 0;
    int samples = 0;
    std::vector<double> used_share = std::vector<double>(slices);
    std::vector<double> usable_share = std::vector<double>(slices);
    double widest_gap = 0; ///< between the slots in use of two slices at one time, per slot
};

} // namespace almondline::granting::build_farm
