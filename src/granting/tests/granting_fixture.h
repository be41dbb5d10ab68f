#pragma once

#include "common/log.h"
#include "granting/credit_client.h"
#include "granting/granter.h"
#include "granting/message_router.h"
#include "peer/envelope_kind.h"
#include "peer/wire.h"
#include "routing/routing.h"
#include "scheduling/allowance.h"
#include "scheduling/queue.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace almondline::granting {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr auto pool_name = "chat";
constexpr milliseconds step{10};

/// Outcome of one request.
struct request_record {
    int answers = 0;
    int dispatches = 0;
    std::string backend; ///< of the last credit
    std::string code;    ///< of the refusal, or "granted"
    milliseconds answered_at{0};
};

/// How the network delivers a message.
struct delivery {
    int copies = 1;
    milliseconds delay{1};
};

using network_rule = std::function<delivery(const std::string& from, const std::string& to,
                                            const wire::envelope& message)>;

/// Entry instances, their network and the backend servers of one pool, on a manual clock.
struct cluster {
    struct packet {
        steady_time at;
        std::string from, to;
        wire::envelope message;
    };

    /// Response header that has not reached its holder.
    struct header {
        steady_time at;
        std::string holder, request_id;
        server_report report;
    };

    struct instance final : peer_sender {
        instance(cluster& c, const std::string& name)
            : parent{c}, id{name}, decisions{c.clock, 200}, router{name, *this},
              own_credit_client{{.instance_id = name},
                                c.clock,
                                router,
                                [&c, name](const std::string&) { return c.owner_seen_by(name); },
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
            if (own_granter) {
                own_granter->handle(from, message);
            }
            own_credit_client.handle(from, message);
        }

        cluster& parent;
        std::string id;
        decision_log decisions;
        message_router router;
        credit_client own_credit_client;
        std::unique_ptr<granter> own_granter;
        scheduling::allowance_table allowances; ///< of own_granter
        bool is_running = true;
    };

    explicit cluster(int instances)
    {
        set_log_level("granting", log_level::error);
        for (int n = 1; n <= instances; ++n) {
            const auto name = "e" + std::to_string(n);
            members[name] = std::make_unique<instance>(*this, name);
        }
        started = clock.now();
    }

    granter& start_granter(const std::string& name, int backends, int slots,
                           std::size_t max_waiting = 1000)
    {
        scheduling::queue_config config;
        config.tiers = {{"urgent", 0}, {"normal", 0}, {"batch", 0}};
        config.max_waiting = max_waiting;
        auto& member = *members.at(name);
        member.allowances = {};
        member.allowances.settings = allowance_limits;
        scheduling::reconfigure(member.allowances, accounts, clock.now());
        member.own_granter = std::make_unique<granter>(
            granter_settings{.instance_id = name, .pool = pool_name}, config, clock, member.router,
            member.decisions, failure_domain_lookup{}, &member.allowances);
        for (int n = 1; n <= backends; ++n) {
            routing::replica_spec spec;
            spec.id = "b" + std::to_string(n);
            spec.address = "127.0.0.1:" + std::to_string(9000 + n);
            spec.max_in_flight = slots;
            routing::update_replica(member.own_granter->replicas(), spec, clock.now());
        }
        return *member.own_granter;
    }

    pool_owner_id owner_seen_by(const std::string& name) const
    {
        const auto it = views.find(name);
        return it == views.end() ? pool_owner_id{owner, 1} : pool_owner_id{it->second, 1};
    }

    void transmit(const std::string& from, const std::string& to, const wire::envelope& message)
    {
        if (!members.at(from)->is_running) {
            return;
        }
        const auto outcome = rule ? rule(from, to, message) : delivery{};
        for (int n = 0; n < outcome.copies; ++n) {
            packets.push_back({clock.now() + outcome.delay, from, to, message});
        }
    }

    /// Requests a credit at an instance. If granted, the request is dispatched immediately and runs
    /// for the service time.
    void submit(const std::string& holder, const std::string& id, int tier = 1,
                milliseconds service = 1s, milliseconds deadline = 60s,
                const std::string& account = "a1")
    {
        scheduling::credit_request request;
        request.request_id = id;
        request.account = account;
        request.kind = "draft";
        request.model = model;
        request.tier = tier;
        request.prompt_tokens = 10;
        request.allowance_cost = allowance_cost;
        request.deadline = clock.now() + deadline;
        records[id];
        members.at(holder)->own_credit_client.request_credit(
            pool_name, request, [this, holder, id, service](const credit_result& result) {
                auto& record = records[id];
                ++record.answers;
                record.answered_at = elapsed();
                record.code = result.granted ? "granted" : result.reason.code;
                if (result.granted) {
                    record.backend = result.granted->backend_id;
                    dispatch(holder, id, service);
                }
            });
    }

    void dispatch(const std::string& holder, const std::string& id, milliseconds service)
    {
        auto& own = members.at(holder)->own_credit_client;
        if (!is_dispatching) {
            return;
        }
        if (!own.confirm(id)) {
            own.release(id, {.outcome = release_outcome::not_dispatched});
            return;
        }
        ++records[id].dispatches;
        dispatched.push_back(clock.now());
        arrivals[records[id].backend].push_back(clock.now());
        headers.push_back(
            {clock.now() + header_delay, holder, id, server_reports[records[id].backend]});
        running[id] = {holder, clock.now() + service};
        peak = std::max(peak, running.size());
    }

    void run_for(milliseconds time)
    {
        const auto end = clock.now() + time;
        while (clock.now() < end) {
            clock.advance(step);
            deliver();
            deliver_headers();
            finish_requests();
            for (auto& [id, it] : members) {
                if (!it->is_running) {
                    continue;
                }
                if (it->own_granter) {
                    it->own_granter->tick(clock.now());
                }
                it->own_credit_client.tick(clock.now());
            }
        }
    }

    void deliver()
    {
        std::vector<packet> due;
        std::erase_if(packets, [&](const auto& it) {
            if (it.at <= clock.now()) {
                due.push_back(it);
                return true;
            }
            return false;
        });
        for (const auto& it : due) {
            if (members.at(it.to)->is_running) {
                members.at(it.to)->receive(it.from, it.message);
            }
        }
    }

    /// Delivers the response headers that are due, with what the backend servers report.
    void deliver_headers()
    {
        const auto due = std::partition(headers.begin(), headers.end(),
                                        [&](const auto& it) { return it.at > clock.now(); });
        const std::vector<header> arrived{due, headers.end()};
        headers.erase(due, headers.end());
        for (const auto& it : arrived) {
            if (members.at(it.holder)->is_running) {
                members.at(it.holder)->own_credit_client.note_server(it.request_id, it.report);
            }
        }
    }

    /// Returns the largest number of requests that a backend server got within such a time, counted
    /// from a point in time on.
    std::size_t most_arrivals(const std::string& backend, milliseconds window,
                              steady_time from) const
    {
        std::size_t most = 0;
        const auto found = arrivals.find(backend);
        if (found == arrivals.end()) {
            return 0;
        }
        const auto& times = found->second;
        for (auto it = times.begin(); it != times.end(); ++it) {
            if (*it >= from) {
                const auto end = std::lower_bound(it, times.end(), *it + window);
                most = std::max(most, static_cast<std::size_t>(end - it));
            }
        }
        return most;
    }

    void finish_requests()
    {
        const auto all = running;
        for (const auto& [id, it] : all) {
            if (it.second <= clock.now()) {
                running.erase(id);
                members.at(it.first)->own_credit_client.release(id, {.actual_cost = 1});
            }
        }
    }

    milliseconds elapsed() const
    {
        return std::chrono::duration_cast<milliseconds>(clock.now() - started);
    }

    int count(const std::string& code) const
    {
        return static_cast<int>(std::count_if(records.begin(), records.end(), [&](const auto& it) {
            return it.second.code == code;
        }));
    }

    manual_clock clock;
    steady_time started;
    std::string owner = "e1";
    std::map<std::string, std::string> views; ///< owner known to an instance, if different
    network_rule rule;
    std::map<std::string, std::unique_ptr<instance>> members;
    std::vector<packet> packets;
    std::map<std::string, request_record> records;
    std::map<std::string, std::pair<std::string, steady_time>> running; ///< holder and end
    std::size_t peak = 0;
    std::vector<steady_time> dispatched;                      ///< in order
    std::map<std::string, std::vector<steady_time>> arrivals; ///< by backend server
    std::map<std::string, server_report> server_reports;      ///< in responses, by backend server
    milliseconds header_delay{20}; ///< from the dispatch to the header of the response
    std::vector<header> headers;
    std::string model;         ///< of the next submitted requests
    double allowance_cost = 0; ///< of the next submitted requests
    std::vector<account_policy> accounts;
    scheduling::allowance_settings allowance_limits;
    bool is_dispatching = true; ///< false: grants are received but not used
};

} // namespace almondline::granting
