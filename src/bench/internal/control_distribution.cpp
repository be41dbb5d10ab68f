#include "bench/internal/control_roles.h"
#include "bench/internal/control_samples.h"
#include "common/hash.h"
#include "distribution/manifest_distributor.h"
#include "distribution/wire_format.h"
#include "manifest/publish.h"
#include "peer/wire.h"
#include "placement/lease_keeper.h"
#include "placement/placement_coordinator.h"

#include <algorithm>
#include <memory>
#include <stdexcept>
#include <utility>

namespace almondline::bench {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds step{50};
constexpr milliseconds settle_time{5000};
constexpr milliseconds change_time{10'000}; ///< within which each instance receives a change
constexpr milliseconds idle_time{120'000};
constexpr int changes = 2;
constexpr int probe_steps = 10; ///< 500 ms between probes
constexpr std::size_t probes = 3;

struct packet {
    std::size_t from;
    std::size_t to;
    std::string frame;
};

/// Instances that receive manifests from one store and from each other.
class distribution_run {
public:
    distribution_run(std::size_t size, std::size_t domains)
    {
        for (std::size_t i = 0; i < size; ++i) {
            membership::member self;
            self.id = name(i);
            self.failure_domain = "domain-" + std::to_string(i % domains);
            members_.push_back(self);
        }
        for (std::size_t i = 0; i < size; ++i) {
            start(i);
        }
    }

    void publish(std::string text)
    {
        text_ = std::move(text);
        store_.put("manifest/body", text_);
        store_.put("manifest/current", std::to_string(++version_));
    }

    void run(milliseconds time)
    {
        messages = 0;
        bytes = 0;
        for (const auto& it : stores) {
            it->counts = {};
        }
        const double start = processor_ns();
        for (milliseconds spent{0}; spent < time; spent += step) {
            clock_.advance(step);
            store_.run();
            for (const packet& it : std::exchange(in_flight_, {})) {
                distribution::message content;
                distribution::from_wire(decode(it.frame), content);
                distributors_[it.to]->receive(name(it.from), content, clock_.now());
            }
            for (const auto& it : distributors_) {
                it->tick(clock_.now());
            }
            if (++steps_ % probe_steps == 0) {
                probe();
            }
        }
        time_ns = processor_ns() - start;
    }

    bool has_reached_all() const
    {
        return std::all_of(distributors_.begin(), distributors_.end(),
                           [this](const auto& it) { return it->version() == version_; });
    }
    bool is_watcher(std::size_t index) const { return distributors_[index]->is_watcher(); }

    double messages = 0;
    double bytes = 0;
    double time_ns = 0;
    std::vector<std::unique_ptr<counting_store>> stores;

private:
    static std::string name(std::size_t index) { return "entry-" + std::to_string(10'000 + index); }

    void start(std::size_t index)
    {
        stores.push_back(std::make_unique<counting_store>(store_));
        distribution::distribution_config config;
        config.instance_id = name(index);
        config.failure_domain = members_[index].failure_domain;
        distribution::distribution_callbacks callbacks;
        callbacks.send = [this, index](const std::string& to, const distribution::message& it) {
            wire::envelope envelope;
            distribution::to_wire(it, envelope);
            in_flight_.push_back({index, std::stoul(to.substr(6)) - 10'000, encode(envelope)});
            bytes += static_cast<double>(in_flight_.back().frame.size());
            ++messages;
        };
        callbacks.live_members = [this] { return members_; };
        callbacks.read_body = [this, index](const get_result& pointer, auto done) {
            stores[index]->get("manifest/body", [pointer, done](const get_result& body) {
                done(distribution::manifest_copy{std::stoll(pointer.value), sha256_hex(body.value),
                                                 body.value});
            });
        };
        callbacks.apply = [](const auto&, const std::string&, const auto& done) { done(true); };
        distributors_.push_back(std::make_unique<distribution::manifest_distributor>(
            config, callbacks, *stores[index], clock_, index + 1));
    }

    /// Reports the manifest versions that membership probes would carry.
    void probe()
    {
        for (std::size_t i = 0; i < distributors_.size(); ++i) {
            for (std::size_t n = 1; n <= probes; ++n) {
                distributors_[(i + n) % distributors_.size()]->on_peer_version(
                    name(i), distributors_[i]->version(), clock_.now());
            }
        }
    }

    manual_clock clock_;
    fake_key_value_store store_{clock_};
    std::vector<membership::member> members_;
    std::vector<std::unique_ptr<distribution::manifest_distributor>> distributors_;
    std::vector<packet> in_flight_;
    std::string text_;
    std::int64_t version_ = 0;
    int steps_ = 0;
};

store_call_counts sum(const std::vector<std::unique_ptr<counting_store>>& stores)
{
    store_call_counts all;
    for (const auto& it : stores) {
        all.gets += it->counts.gets;
        all.watches += it->counts.watches;
        all.writes += it->counts.writes;
        all.lease_calls += it->counts.lease_calls;
    }
    return all;
}

void add_changes(control_role& role, const std::string& variable, double size, std::size_t members,
                 const std::string& text)
{
    distribution_run run{members, 3};
    run.publish("first");
    run.run(settle_time);
    double bytes = 0;
    double messages = 0;
    double reads = 0;
    double time = 0;
    for (int i = 0; i < changes; ++i) {
        run.publish(text + std::string(static_cast<std::size_t>(i), ' '));
        run.run(change_time);
        const store_call_counts calls = sum(run.stores);
        bytes += run.bytes;
        messages += run.messages;
        reads += calls.gets;
        time += run.time_ns;
    }
    if (!run.has_reached_all()) {
        throw std::runtime_error{
            "a manifest change did not reach every instance within change_time"};
    }
    const double count = changes * static_cast<double>(members);
    role.add("bytes sent by " + variable, "B per change", variable, size, bytes / count);
    role.add("messages sent by " + variable, "per change", variable, size, messages / count);
    role.add("body reads by " + variable, "of the fleet per change", variable, size,
             reads / changes);
    role.add("time by " + variable, "ns per change", variable, size, time / count);
}

/// Adds the calls of one watcher and of one other instance, divided by a time in s or a number of
/// changes.
void add_single_calls(control_role& role, const distribution_run& run, const std::string& when,
                      const std::string& unit, double domains, double divisor)
{
    store_call_counts watcher;
    store_call_counts other;
    double watchers = 0;
    for (std::size_t i = 0; i < run.stores.size(); ++i) {
        watchers += run.is_watcher(i) ? 1 : 0;
        (run.is_watcher(i) ? watcher : other) = run.stores[i]->counts;
    }
    const std::string variable = "domains";
    role.add("watchers " + when, "instances", variable, domains, watchers);
    role.add("watcher watches " + when, unit, variable, domains, watcher.watches / divisor);
    role.add("watcher gets " + when, unit, variable, domains, watcher.gets / divisor);
    role.add("non-watcher calls " + when, unit, variable, domains,
             (other.gets + other.watches + other.writes + other.lease_calls) / divisor);
}

void add_calls(control_role& role, std::size_t domains)
{
    constexpr std::size_t members_per_domain = 4;
    distribution_run run{domains * members_per_domain, domains};
    run.publish(make_manifest_text(5));
    run.run(settle_time);
    run.run(idle_time);
    const double seconds = std::chrono::duration<double>{idle_time}.count();
    const auto size = static_cast<double>(domains);
    const store_call_counts rest = sum(run.stores);
    add_single_calls(role, run, "at rest", "per s", size, seconds);
    role.add("fleet watches at rest", "per s", "domains", size, rest.watches / seconds);
    role.add("fleet gets at rest", "per s", "domains", size, rest.gets / seconds);
    run.publish(make_manifest_text(6));
    run.run(settle_time);
    add_single_calls(role, run, "for a change", "per change", size, 1);
    const store_call_counts change = sum(run.stores);
    role.add("fleet watches for a change", "per change", "domains", size, change.watches);
    role.add("fleet gets for a change", "per change", "domains", size, change.gets);
}

/// Adds the store calls of an operator's publications on the instance that handles them.
void add_publications(control_role& role, int accounts)
{
    constexpr int publications = 60;
    constexpr int first_counted = 40; // by then the history is full
    manual_clock clock;
    fake_key_value_store store{clock};
    counting_store counted{store};
    const std::string text = make_manifest_text(accounts);
    std::int64_t version = 0;
    for (int i = 0; i < publications; ++i) {
        if (i == first_counted) {
            counted.counts = {};
        }
        const std::string id = "publication-" + std::to_string(i);
        const publish_request request{text + std::string(static_cast<std::size_t>(i), ' '), version,
                                      "operator", id};
        publish_status status = publish_status::undecided;
        publish_manifest(counted, clock, request, {}, [&](const publish_result& result) {
            status = result.status;
            version = result.version;
        });
        store.run();
        if (status != publish_status::published) {
            throw std::runtime_error{"the store did not publish the sample manifest"};
        }
    }
    constexpr double count = publications - first_counted;
    role.add("publication writes", "per change", "accounts", accounts,
             counted.counts.writes / count);
    role.add("publication gets", "per change", "accounts", accounts, counted.counts.gets / count);
}

/// Adds the store calls of the candidates for placement control: one holds the lease, the others
/// poll it.
void add_candidates(control_role& role, std::size_t candidates)
{
    manual_clock clock;
    fake_key_value_store store{clock};
    std::vector<std::unique_ptr<counting_store>> stores;
    std::vector<std::unique_ptr<placement::lease_keeper>> keepers;
    for (std::size_t i = 0; i < candidates; ++i) {
        stores.push_back(std::make_unique<counting_store>(store));
        keepers.push_back(std::make_unique<placement::lease_keeper>(
            *stores.back(), clock, placement::placement_lease_key, "entry-" + std::to_string(i),
            placement::lease_settings{}));
    }
    const auto run = [&](milliseconds time) {
        for (milliseconds spent{0}; spent < time; spent += step) {
            clock.advance(step);
            for (const auto& it : keepers) {
                it->tick(clock.now());
            }
            store.run();
        }
    };
    run(settle_time);
    for (const auto& it : stores) {
        it->counts = {};
    }
    run(idle_time);
    const store_call_counts all = sum(stores);
    const double seconds = std::chrono::duration<double>{idle_time}.count();
    const auto size = static_cast<double>(candidates);
    role.add("placement lease renewals", "per s", "candidates", size, all.lease_calls / seconds);
    role.add("placement gets", "per s", "candidates", size, all.gets / seconds);
    role.add("placement writes", "per s", "candidates", size, all.writes / seconds);
}

} // namespace

control_role measure_distribution()
{
    control_role role{"distribution", {}};
    const std::string text = make_manifest_text(5);
    for (const std::size_t members : {8U, 32U, 128U, 400U}) {
        add_changes(role, "members", static_cast<double>(members), members, text);
    }
    for (const std::size_t size : {8'000U, 64'000U, 256'000U, 500'000U}) {
        add_changes(role, "text bytes", static_cast<double>(size), 32, std::string(size, 'a'));
    }
    return role;
}

control_role measure_store_calls()
{
    control_role role{"store calls", {}};
    for (const std::size_t domains : {3U, 6U, 12U, 30U}) {
        add_calls(role, domains);
    }
    for (const int accounts : {5, 50, 200, 840}) {
        add_publications(role, accounts);
    }
    for (const std::size_t candidates : {1U, 2U, 3U, 4U}) {
        add_candidates(role, candidates);
    }
    return role;
}

} // namespace almondline::bench
