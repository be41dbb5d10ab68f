#pragma once

#include "common/hash.h"
#include "distribution/manifest_distributor.h"
#include "store/tests/fake_key_value_store.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace almondline::distribution::tests {

struct link_fleet_options {
    int size = 295;
    int domains = 5;
    double link_mbps = 20;      ///< of each instance, in each direction
    double message_loss = 0.01; ///< share of all messages
    std::uint64_t seed = 1;
    /// From a complete text until it is in force. A text of 0.4 MB takes this long on an instance
    /// with an eighth of a core.
    std::chrono::milliseconds check_time{400};
};

/// Fleet in virtual time whose instances have links of limited bandwidth. Each message occupies the
/// sender's and then the receiver's link, in the order in which the messages are sent. A watcher
/// receives the whole text from the store over its link.
class link_fleet {
public:
    using milliseconds = std::chrono::milliseconds;

    struct version_in_force {
        steady_time since;
        std::int64_t version = 0;
    };
    struct instance {
        std::unique_ptr<manifest_distributor> distributor;
        std::vector<version_in_force> applied;
        std::string text;
        steady_time uplink_free;
        steady_time downlink_free;
        steady_time next_tick;
        steady_time next_probe;
    };

    explicit link_fleet(const link_fleet_options& options)
        : store{clock}, options_{options}, random_{options.seed}
    {
        for (int n = 0; n < options.size; ++n) {
            membership::member m;
            m.id = "entry-" + std::to_string(n);
            m.failure_domain = "domain-" + std::to_string(n % options.domains);
            members_.push_back(m);
        }
        for (const auto& it : members_) {
            start(it);
        }
    }

    void publish(std::int64_t version, const std::string& text)
    {
        texts_[version] = text;
        published_[version] = clock.now();
        store.put("manifest/current", std::to_string(version));
    }

    void run(milliseconds duration)
    {
        const auto end = clock.now() + duration;
        while (clock.now() < end) {
            clock.advance(step);
            store.run();
            while (!events_.empty() && events_.top().at <= clock.now()) {
                const auto action = events_.top().action;
                events_.pop();
                action();
            }
            for (auto& [id, it] : instances) {
                tick(id, it);
            }
        }
    }

    /// Returns the time from the publication until each instance had this or a later version in
    /// force, or nothing if an instance has not.
    std::optional<milliseconds> time_everywhere(std::int64_t version) const
    {
        steady_time last = published_.at(version);
        for (const auto& [id, it] : instances) {
            const auto first =
                std::find_if(it.applied.begin(), it.applied.end(),
                             [&](const auto& each) { return each.version >= version; });
            if (first == it.applied.end()) {
                return std::nullopt;
            }
            last = std::max(last, first->since);
        }
        return std::chrono::duration_cast<milliseconds>(last - published_.at(version));
    }

    /// Returns the sum of a counter of all instances.
    std::uint64_t sum(std::uint64_t distribution_counters::*counter) const
    {
        std::uint64_t total = 0;
        for (const auto& [id, it] : instances) {
            total += it.distributor->counters().*counter;
        }
        return total;
    }

    manual_clock clock;
    fake_key_value_store store;
    std::map<std::string, instance> instances;

private:
    static constexpr milliseconds step{5};
    static constexpr milliseconds tick_interval{50};
    static constexpr milliseconds probe_interval{500};
    static constexpr milliseconds latency{1};
    static constexpr std::size_t message_overhead = 150; ///< headers and other fields, in bytes

    struct event {
        steady_time at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const event& other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    void start(const membership::member& self)
    {
        const auto id = self.id;
        auto& it = instances[id];
        it.next_tick = clock.now() + random_up_to(tick_interval);
        it.next_probe = clock.now() + random_up_to(probe_interval);
        distribution_config config;
        config.instance_id = id;
        config.failure_domain = self.failure_domain;
        config.bytes_per_second = options_.link_mbps * 1e6 / 8 / 2; // half of the link
        distribution_callbacks callbacks;
        callbacks.send = [this, id](const std::string& to, const message& m) { post(id, to, m); };
        callbacks.live_members = [this] { return members_; };
        callbacks.read_body = [this, &it](const get_result& record, auto done) {
            const auto version = std::stoll(record.value);
            const auto& text = texts_.at(version);
            const auto at = occupy(it.downlink_free, clock.now(), text.size() * 4 / 3);
            at_time(at, [done, version, &text] {
                done(manifest_copy{version, sha256_hex(text), text});
            });
        };
        callbacks.apply = [this, &it](const auto& copy, const std::string&, const auto& done) {
            at_time(clock.now() + options_.check_time, [this, &it, copy, done] {
                it.applied.push_back({clock.now(), copy->version});
                it.text = copy->text;
                done(true);
            });
        };
        it.distributor =
            std::make_unique<manifest_distributor>(config, callbacks, store, clock, random_());
    }

    milliseconds random_up_to(milliseconds limit)
    {
        return milliseconds{
            std::uniform_int_distribution<int>{0, static_cast<int>(limit.count())}(random_)};
    }

    void at_time(steady_time at, std::function<void()> action)
    {
        events_.push({at, ++event_count_, std::move(action)});
    }

    /// Returns when the last byte has passed the link.
    steady_time occupy(steady_time& link_free, steady_time start, std::size_t bytes) const
    {
        const auto duration = std::chrono::duration<double, std::micro>{static_cast<double>(bytes) *
                                                                        8 / options_.link_mbps};
        link_free = std::max(link_free, start) +
                    std::chrono::duration_cast<steady_time::duration>(duration);
        return link_free;
    }

    void tick(const std::string& id, instance& it)
    {
        const auto now = clock.now();
        if (now >= it.next_tick) {
            it.next_tick += tick_interval;
            it.distributor->tick(now);
        }
        if (now < it.next_probe) {
            return;
        }
        it.next_probe += probe_interval;
        for (int n = 0; n < 3; ++n) {
            const auto& other = members_[random_() % members_.size()].id;
            if (other != id) {
                instances.at(other).distributor->on_peer_version(id, it.distributor->version(),
                                                                 now);
            }
        }
    }

    static std::size_t size_of(const message& content)
    {
        const auto* chunk = std::get_if<body_chunk>(&content);
        const auto* announced = std::get_if<announcement>(&content);
        return message_overhead + (chunk == nullptr ? 0 : chunk->data.size()) +
               (announced == nullptr ? 0 : announced->patch.size());
    }

    void post(const std::string& from, const std::string& to, const message& content)
    {
        const auto bytes = size_of(content);
        const auto sent = occupy(instances.at(from).uplink_free, clock.now(), bytes);
        if (std::uniform_real_distribution<>{}(random_) < options_.message_loss) {
            return;
        }
        at_time(sent + latency, [this, from, to, content, bytes] {
            const auto received = occupy(instances.at(to).downlink_free, clock.now(), bytes);
            at_time(received, [this, from, to, content] {
                instances.at(to).distributor->receive(from, content, clock.now());
            });
        });
    }

    link_fleet_options options_;
    std::mt19937_64 random_;
    std::vector<membership::member> members_;
    std::map<std::int64_t, std::string> texts_;
    std::map<std::int64_t, steady_time> published_;
    std::priority_queue<event> events_;
    std::uint64_t event_count_ = 0;
};

} // namespace almondline::distribution::tests
