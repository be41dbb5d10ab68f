#pragma once

#include "idempotency/idempotency_guard.h"
#include "store/tests/fake_key_value_store.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace almondline::idempotency::tests {

using std::chrono::milliseconds;

/// Three instances with a common store and a network that delivers each message in the next step.
struct guards {
    struct envelope {
        std::string from;
        std::string to;
        message content;
    };
    struct caller {
        int answers = 0;
        admission last;
    };

    manual_clock clock;
    fake_key_value_store store{clock};
    guard_config config;
    std::map<std::string, std::unique_ptr<idempotency_guard>> instances;
    std::map<std::string, std::int64_t> incarnations;
    std::vector<envelope> in_flight;
    std::mt19937_64 random{1};
    double message_loss = 0;               ///< probability that a message is lost
    double missing_member_probability = 0; ///< in a view of the live members

    explicit guards(const guard_config& base = {}) : config{base}
    {
        for (const auto* id : {"a", "b", "c"}) {
            start(id, 1000);
        }
    }

    bool with_probability(double probability)
    {
        return std::uniform_real_distribution<>{}(random) < probability;
    }

    void start(const std::string& id, std::int64_t incarnation)
    {
        config.instance_id = id;
        config.incarnation = incarnation;
        incarnations[id] = incarnation;
        guard_callbacks callbacks;
        callbacks.peers.send = [this, id](const std::string& to, const message& m) {
            in_flight.push_back({id, to, m});
        };
        callbacks.peers.live_members = [this] {
            std::vector<std::string> ids;
            for (const auto& [name, unused] : instances) {
                if (!with_probability(missing_member_probability)) {
                    ids.push_back(name);
                }
            }
            return ids;
        };
        callbacks.holder = [this](const std::string& name, std::int64_t holder_incarnation) {
            const bool is_gone =
                instances.count(name) == 0 || incarnations[name] != holder_incarnation;
            return holder_info{is_gone, is_gone ? "" : "address-" + name};
        };
        instances[id] = std::make_unique<idempotency_guard>(config, callbacks, store, clock);
    }

    void run(milliseconds duration)
    {
        for (milliseconds spent{0}; spent < duration; spent += milliseconds{10}) {
            for (auto& it : std::exchange(in_flight, {})) {
                if (instances.count(it.to) > 0 && !with_probability(message_loss)) {
                    instances[it.to]->receive(it.from, it.content, clock.now());
                }
            }
            for (auto& [id, it] : instances) {
                it->tick(clock.now());
            }
            store.run();
            clock.advance(milliseconds{10});
        }
    }

    std::shared_ptr<caller> admit(const std::string& at, const keyed_request& request)
    {
        auto it = std::make_shared<caller>();
        instances.at(at)->admit(
            request,
            [it](const admission& answer) {
                ++it->answers;
                it->last = answer;
            },
            clock.now());
        return it;
    }

    std::string owner_of_key(const keyed_request& request)
    {
        return owner_of(range_of(hash_key(request.account, request.key)), {"a", "b", "c"});
    }
};

} // namespace almondline::idempotency::tests
