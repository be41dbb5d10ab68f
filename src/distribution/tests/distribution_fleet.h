#pragma once

#include "common/hash.h"
#include "distribution/manifest_distributor.h"
#include "store/tests/fake_key_value_store.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace almondline::distribution::tests {

/// Text that can't be compressed much.
inline std::string random_text(std::size_t bytes, std::uint64_t seed = 1)
{
    std::mt19937_64 random{seed};
    std::string out(bytes, ' ');
    std::generate(out.begin(), out.end(), [&] { return static_cast<char>(random()); });
    return out;
}

/// Simulated fleet with one store and a lossy network. Each instance probes random members every
/// 500 ms.
class distribution_fleet {
public:
    struct instance {
        std::unique_ptr<distribution::manifest_distributor> distributor;
        std::vector<std::int64_t> applied;
        std::string text;
        int refusals = 0; ///< of invalid texts
    };
    static constexpr std::chrono::milliseconds step{25};

    distribution_fleet(int size, int domains, double message_loss, std::uint64_t seed)
        : loss{message_loss}, store{clock}, random_{seed}, domains_{domains}
    {
        for (int i = 0; i < size; ++i) {
            start(i);
        }
    }

    void start(int i)
    {
        const std::string id = "entry-" + std::to_string(i);
        distribution_config config;
        config.instance_id = id;
        config.failure_domain = "domain-" + std::to_string(i % domains_);
        auto& it = instances[id];
        it = {};
        distribution_callbacks callbacks;
        callbacks.send = [this, id](const std::string& to, const message& m) { post(id, to, m); };
        callbacks.live_members = [this] { return members(); };
        callbacks.read_body = [this](const get_result& pointer, auto done) {
            store.get("body/" + pointer.value, [pointer, done](const get_result& body) {
                const bool is_ok = body.status == get_status::found;
                done(is_ok ? std::optional{manifest_copy{std::stoll(pointer.value),
                                                         sha256_hex(body.value), body.value}}
                           : std::nullopt);
            });
        };
        callbacks.apply = [&it](const auto& copy, const std::string&, const auto& done) {
            if (copy->text == "invalid") {
                ++it.refusals;
                done(false);
                return;
            }
            it.applied.push_back(copy->version);
            it.text = copy->text;
            done(true);
        };
        it.distributor =
            std::make_unique<manifest_distributor>(config, callbacks, store, clock, random_());
    }

    void publish(std::int64_t version, const std::string& text)
    {
        store.put("body/" + std::to_string(version), text);
        store.put("manifest/current", std::to_string(version));
    }

    void run(std::chrono::milliseconds duration)
    {
        for (std::chrono::milliseconds spent{0}; spent < duration; spent += step) {
            clock.advance(step);
            store.run();
            for (auto& it : std::exchange(in_flight_, {})) {
                const auto to = instances.find(it.to);
                if (to != instances.end() && std::uniform_real_distribution<>{}(random_) >= loss) {
                    to->second.distributor->receive(it.from, it.content, clock.now());
                }
            }
            for (auto& [id, it] : instances) {
                it.distributor->tick(clock.now());
            }
            if (++steps_ % 20 == 0) {
                probe();
            }
        }
    }

    /// Runs until all instances hold the version, for at most 60 s. Returns the simulated time.
    std::chrono::milliseconds time_until(std::int64_t version)
    {
        std::chrono::milliseconds spent{0};
        while (!is_everywhere(version) && spent < std::chrono::seconds{60}) {
            run(step);
            spent += step;
        }
        return spent;
    }

    bool is_everywhere(std::int64_t version) const
    {
        return std::all_of(instances.begin(), instances.end(), [&](const auto& it) {
            return it.second.distributor->version() == version;
        });
    }

    bool has_reversion() const
    {
        return std::any_of(instances.begin(), instances.end(), [](const auto& it) {
            return !std::is_sorted(it.second.applied.begin(), it.second.applied.end());
        });
    }

    std::map<std::string, instance> instances;
    double loss;
    bool are_announcements_lost = false;
    std::string corrupting_instance; ///< sends texts that don't match their digest
    manual_clock clock;
    fake_key_value_store store;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;

private:
    struct envelope {
        std::string from;
        std::string to;
        message content;
    };

    std::vector<membership::member> members() const
    {
        std::vector<membership::member> all;
        for (const auto& [id, it] : instances) {
            membership::member m;
            m.id = id;
            m.failure_domain = "domain-" + std::to_string(std::stoi(id.substr(6)) % domains_);
            all.push_back(m);
        }
        return all;
    }

    void post(const std::string& from, const std::string& to, message content)
    {
        ++messages;
        auto* chunk = std::get_if<body_chunk>(&content);
        auto* announced = std::get_if<announcement>(&content);
        if (chunk != nullptr || (announced != nullptr && !announced->patch.empty())) {
            auto& data = chunk != nullptr ? chunk->data : announced->patch;
            bytes += data.size();
            if (from == corrupting_instance) {
                data[data.size() / 2] ^= '#';
            }
        }
        bytes += 40;
        if (!are_announcements_lost || !std::holds_alternative<announcement>(content)) {
            in_flight_.push_back({from, to, std::move(content)});
        }
    }

    void probe()
    {
        for (auto& [id, it] : instances) {
            for (int i = 0; i < 4; ++i) {
                auto other = instances.begin();
                std::advance(other, static_cast<std::ptrdiff_t>(random_() % instances.size()));
                if (other->first != id && std::uniform_real_distribution<>{}(random_) >= loss) {
                    other->second.distributor->on_peer_version(id, it.distributor->version(),
                                                               clock.now());
                }
            }
        }
    }

    std::mt19937_64 random_;
    int domains_;
    std::vector<envelope> in_flight_;
    int steps_ = 0;
};

} // namespace almondline::distribution::tests
