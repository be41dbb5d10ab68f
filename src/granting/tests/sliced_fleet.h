#pragma once

#include "common/log.h"
#include "granting/credit_client.h"
#include "granting/message_router.h"
#include "granting/pools.h"
#include "peer/frame.h"
#include "peer/wire.h"
#include "routing/routing.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace almondline::granting {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// A request that is given to the fleet.
struct fleet_request {
    scheduling::credit_request credit;
    std::string service;
    milliseconds work{0}; ///< time on a server of speed 1 that runs nothing else
};

/// What became of a request.
struct fleet_outcome {
    int grants = 0;
    bool is_refused = false;
    std::string code; ///< of the last refusal
    int asks = 0;     ///< pools that were asked
    steady_time submitted{};
    steady_time dispatched{};
};

/// How the network delivers a message.
struct fleet_delivery {
    int copies = 1;
    milliseconds delay{1};
};

/// Instances that own the slices of a service, their network and its backend servers, on a manual
/// clock. The holders of requests proceed as the gateway does.
class sliced_fleet {
public:
    struct instance;
    using chooser = std::function<std::string(instance& at, const std::string& service,
                                              const scheduling::credit_request& request,
                                              const std::vector<pool_refusal>& refused_by)>;
    using network_rule = std::function<fleet_delivery(
        const std::string& from, const std::string& to, const wire::envelope& message)>;

    struct instance final : peer_sender {
        instance(sliced_fleet& fleet, const std::string& name, const pools_settings& settings)
            : parent{fleet}, id{name}, decisions{fleet.clock, 10}, router{name, *this},
              own_pools{name, fleet.clock, router, decisions, failure_domain_lookup{}, settings},
              credits{{.instance_id = name,
                       .resend_after = 400ms,
                       .max_resend_after = 1'600ms,
                       .confirm_before_expiry = 250ms,
                       .holdings_interval = 2s},
                      fleet.clock,
                      router,
                      [this](const std::string& pool) { return own_pools.owner_of(pool); },
                      decisions}
        {
            router.set_local_handler(
                [this](const std::string& from, const wire::envelope& it) { receive(from, it); });
        }

        void send(const std::string& to, const wire::envelope& message) override
        {
            parent.transmit(id, to, message);
        }

        void receive(const std::string& from, const wire::envelope& message)
        {
            own_pools.handle(from, message);
            credits.handle(from, message);
        }

        sliced_fleet& parent;
        std::string id;
        decision_log decisions;
        message_router router;
        pools own_pools;
        credit_client credits;
        bool is_running = true;
    };

    sliced_fleet(int instance_count, std::shared_ptr<const manifest> content,
                 std::vector<listed_instance> list, const pools_settings& settings,
                 std::uint64_t seed = 1)
        : random{seed}, servers{std::move(list)}, settings_{settings}, content_{std::move(content)}
    {
        set_log_level("granting", log_level::error);
        for (const auto& it : servers) {
            speeds[it.id] = 1;
        }
        for (int i = 0; i < instance_count; ++i) {
            membership::member it;
            it.id = "e" + std::to_string(i);
            it.incarnation = 1;
            it.cores = 0.5;
            members.push_back(it);
        }
        for (const auto& it : members) {
            start(it.id);
        }
        started = clock.now();
    }

    /// Creates an instance, in place of the former process of this id.
    instance& start(const std::string& id)
    {
        auto& it = instances[id];
        it = std::make_unique<instance>(*this, id, settings_);
        it->own_pools.apply_manifest(content_);
        it->own_pools.update_ownership(members);
        it->own_pools.apply_list(servers);
        return *it;
    }

    /// Ends an instance's process and removes it from the members.
    void stop(const std::string& id)
    {
        instances.erase(id);
        std::erase_if(running_, [&](const auto& it) {
            in_use[it.second.backend] -= it.second.holder == id ? 1 : 0;
            return it.second.holder == id;
        });
        std::erase_if(members, [&](const auto& it) { return it.id == id; });
        apply_members();
    }

    /// Starts a new process of an instance that was stopped.
    void restart(const std::string& id, std::int64_t incarnation)
    {
        membership::member it;
        it.id = id;
        it.incarnation = incarnation;
        it.cores = 0.5;
        members.push_back(it);
        start(id);
        apply_members();
    }

    void apply_members()
    {
        for (auto& [id, it] : instances) {
            for (const auto& gone : known_ids_) {
                if (instances.count(gone) == 0) {
                    it->own_pools.remove_holder(gone);
                }
            }
            it->own_pools.update_ownership(members);
            it->credits.check_owners();
        }
        known_ids_.clear();
        for (const auto& [id, it] : instances) {
            known_ids_.insert(id);
        }
    }

    void apply_servers(std::vector<listed_instance> list)
    {
        servers = std::move(list);
        for (const auto& it : servers) {
            speeds.try_emplace(it.id, 1);
        }
        for (auto& [id, it] : instances) {
            apply_servers_at(*it);
        }
    }

    void apply_servers_at(instance& it)
    {
        it.own_pools.apply_list(servers);
        it.credits.refuse_removed_pools(
            [&](const std::string& pool) { return it.own_pools.exists(pool); });
    }

    void transmit(const std::string& from, const std::string& to, const wire::envelope& message)
    {
        ++messages;
        if (is_counting_bytes) {
            bytes += frame_size(message);
            auto plain = message;
            plain.grant.__isset.load = false;
            plain.refusal.__isset.load = false;
            bytes_without_load += frame_size(plain);
        }
        const auto outcome = rule ? rule(from, to, message) : fleet_delivery{};
        for (int n = 0; n < outcome.copies; ++n) {
            packets_.push_back({clock.now() + outcome.delay, from, to, message});
        }
    }

    void submit(const std::string& holder, fleet_request request)
    {
        const auto id = request.credit.request_id;
        outcomes[id].submitted = clock.now();
        ask(holder, std::make_shared<fleet_request>(std::move(request)), {});
    }

    /// Runs for a time, with a function called before each step.
    void run_for(milliseconds time, const std::function<void()>& before_step = {})
    {
        const auto end = clock.now() + time;
        while (clock.now() < end) {
            clock.advance(step);
            if (before_step) {
                before_step();
            }
            deliver();
            finish_requests();
            if (clock.now() >= next_tick_) {
                next_tick_ = clock.now() + tick_interval;
                tick();
            }
        }
    }

    milliseconds elapsed() const
    {
        return std::chrono::duration_cast<milliseconds>(clock.now() - started);
    }

    std::size_t pick(std::size_t limit)
    {
        return std::uniform_int_distribution<std::size_t>{0, limit - 1}(random);
    }

    /// Returns the granter of a pool, or null if no running instance owns it.
    granter* find_granter(const std::string& pool)
    {
        for (auto& [id, it] : instances) {
            auto* found = it->is_running ? it->own_pools.find(pool) : nullptr;
            if (found != nullptr) {
                return found;
            }
        }
        return nullptr;
    }

    static constexpr milliseconds step{1};
    static constexpr milliseconds tick_interval{50};

    manual_clock clock;
    steady_time started;
    std::mt19937_64 random;
    std::vector<membership::member> members;
    std::vector<listed_instance> servers;
    std::map<std::string, std::unique_ptr<instance>> instances;
    std::map<std::string, double> speeds; ///< by server
    std::map<std::string, int> in_use;    ///< requests by server
    std::map<std::string, fleet_outcome> outcomes;
    network_rule rule;
    chooser choose = [](instance& at, const std::string& service,
                        const scheduling::credit_request& request,
                        const std::vector<pool_refusal>& refused_by) {
        return at.own_pools.choose_pool(service, request, refused_by);
    };
    /// Called for each dispatch.
    std::function<void(const fleet_request& request, const credit& granted)> on_dispatch;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;              ///< of frames, if they are counted
    std::uint64_t bytes_without_load = 0; ///< the same if no message had the load of a slice
    bool is_counting_bytes = false;

private:
    static std::size_t frame_size(const wire::envelope& message)
    {
        std::string frame;
        peer::encode_frame(message, frame);
        return frame.size();
    }

    struct packet {
        steady_time at;
        std::string from, to;
        wire::envelope message;
    };

    struct running_work {
        std::string holder;
        std::string backend;
        double cost;
        steady_time end;
    };

    void ask(const std::string& holder, const std::shared_ptr<fleet_request>& request,
             std::vector<pool_refusal> refused_by)
    {
        const auto at = instances.find(holder);
        if (at == instances.end()) {
            return;
        }
        auto& outcome = outcomes[request->credit.request_id];
        const auto pool = choose(*at->second, request->service, request->credit, refused_by);
        if (pool.empty()) {
            outcome.is_refused = true;
            outcome.code = refused_by.empty() ? "" : refused_by.back().code;
            return;
        }
        ++outcome.asks;
        at->second->credits.request_credit(
            pool, request->credit,
            [this, holder, request, pool, refused_by](const credit_result& result) mutable {
                if (result.granted) {
                    dispatch(holder, *request, *result.granted);
                    return;
                }
                refused_by.push_back({pool, result.reason.code});
                ask(holder, request, std::move(refused_by));
            });
    }

    void dispatch(const std::string& holder, const fleet_request& request, const credit& granted)
    {
        auto& credits = instances.at(holder)->credits;
        const auto& id = request.credit.request_id;
        if (!credits.confirm(id)) {
            credits.release(id, {.outcome = release_outcome::not_dispatched});
            return;
        }
        auto& outcome = outcomes[id];
        ++outcome.grants;
        outcome.dispatched = clock.now();
        if (on_dispatch) {
            on_dispatch(request, granted);
        }
        const auto& backend = granted.backend_id;
        const double slowdown = 1 + batch_slowdown * in_use[backend]++;
        const std::chrono::duration<double> time = request.work;
        const auto duration =
            std::chrono::duration_cast<steady_time::duration>(time * slowdown / speeds.at(backend));
        running_[id] = {holder, backend, request.credit.cost, clock.now() + duration};
    }

    void deliver()
    {
        std::vector<packet> due;
        std::erase_if(packets_, [&](auto& it) {
            if (it.at > clock.now()) {
                return false;
            }
            due.push_back(std::move(it));
            return true;
        });
        for (const auto& it : due) {
            const auto to = instances.find(it.to);
            if (to == instances.end()) {
                continue;
            }
            if (!to->second->is_running) {
                packets_.push_back(it);
                continue;
            }
            to->second->receive(it.from, it.message);
        }
    }

    void finish_requests()
    {
        std::vector<std::pair<std::string, running_work>> due;
        for (const auto& it : running_) {
            if (it.second.end <= clock.now()) {
                due.push_back(it);
            }
        }
        for (const auto& [id, it] : due) {
            --in_use[it.backend];
            const auto at = instances.find(it.holder);
            if (at == instances.end()) {
                running_.erase(id);
                continue;
            }
            if (!at->second->is_running) {
                continue;
            }
            const auto duration =
                std::chrono::duration_cast<milliseconds>(clock.now() - outcomes[id].dispatched);
            running_.erase(id);
            at->second->credits.release(id, {.actual_cost = it.cost, .duration = duration});
        }
    }

    void tick()
    {
        for (auto& [id, it] : instances) {
            if (it->is_running) {
                it->own_pools.tick(clock.now());
                it->credits.tick(clock.now());
            }
        }
    }

    /// Relative slowdown of a request by each other request on its server.
    static constexpr double batch_slowdown = 0.1;

    pools_settings settings_;
    std::shared_ptr<const manifest> content_;
    std::set<std::string> known_ids_;
    std::vector<packet> packets_;
    std::map<std::string, running_work> running_; ///< by request id
    steady_time next_tick_{};
};

} // namespace almondline::granting
