#include "fleet/manifest_follower.h"

#include "common/hash.h"
#include "distribution/wire_format.h"
#include "manifest/fetch.h"
#include "peer/wire.h"

#include <optional>
#include <utility>

namespace almondline::fleet {

namespace {

distribution::distribution_config make_config(const membership::member& self,
                                              const manifest_source& source)
{
    distribution::distribution_config config;
    config.watch = source.watch;
    config.watchers_per_domain = source.watchers_per_domain;
    config.bytes_per_second = source.bytes_per_second;
    config.instance_id = self.id;
    config.failure_domain = self.failure_domain;
    return config;
}

void read_copy(key_value_store& store, const get_result& pointer,
               std::function<void(std::optional<distribution::manifest_copy>)> done)
{
    fetch_manifest_body(store, pointer, [done = std::move(done)](const fetch_result& result) {
        if (result.status != fetch_status::found) {
            done(std::nullopt);
            return;
        }
        const auto& current = result.pointer.current;
        done(distribution::manifest_copy{current.version, current.digest, result.text});
    });
}

} // namespace

manifest_source default_manifest_source()
{
    manifest_source source;
    source.read_body = read_copy;
    source.parse = try_parse_manifest;
    return source;
}

manifest_follower::manifest_follower(membership::member_table& members, peer_sender& sender,
                                     key_value_store& store, const clock_source& clock,
                                     manifest_source source, background_runner run_in_background,
                                     std::function<void()> on_change)
    : members_{members}, source_{std::move(source)},
      run_in_background_{std::move(run_in_background)}, on_change_{std::move(on_change)},
      state_{source_.parse}, distributor_{make_config(members.self(), source_),
                                          callbacks(sender, store), store, clock,
                                          stable_hash(members.self().id)}
{
}

distribution::distribution_callbacks manifest_follower::callbacks(peer_sender& sender,
                                                                  key_value_store& store)
{
    distribution::distribution_callbacks out;
    out.send = [&sender](const std::string& to, const distribution::message& content) {
        wire::envelope envelope;
        distribution::to_wire(content, envelope);
        sender.send(to, envelope);
    };
    out.live_members = [this] { return members_.live_members(); };
    out.read_body = [this,
                     &store](const get_result& record,
                             std::function<void(std::optional<distribution::manifest_copy>)> done) {
        source_.read_body(store, record, std::move(done));
    };
    out.apply = [this](const std::shared_ptr<const distribution::manifest_copy>& copy,
                       const std::string& source,
                       std::function<void(bool)> done) { apply(copy, source, std::move(done)); };
    return out;
}

/// Parses the text in the background: on an instance with an eighth of a core a large text takes
/// long enough to delay requests and answers to probes.
void manifest_follower::apply(const std::shared_ptr<const distribution::manifest_copy>& copy,
                              const std::string& source, std::function<void(bool)> done)
{
    const auto checked = std::make_shared<checked_manifest>();
    const std::weak_ptr<int> alive = alive_;
    run_in_background_(
        [parser = source_.parse, copy, source, checked] {
            const std::shared_ptr<const std::string> text{copy, &copy->text};
            *checked = check_manifest(parser, copy->version, copy->digest, text, source);
        },
        [this, alive, checked, done = std::move(done)] {
            if (!alive.expired()) {
                done(put_in_force(std::move(*checked)));
            }
        });
}

bool manifest_follower::put_in_force(checked_manifest checked)
{
    const auto version = checked.version;
    if (!state_.put_in_force(std::move(checked)).is_applied) {
        return false;
    }
    members_.set_manifest_version(version);
    on_change_();
    return true;
}

std::shared_ptr<const manifest> manifest_follower::usable() const
{
    return was_ready_ ? state_.snapshot() : nullptr;
}

void manifest_follower::tick(steady_time now)
{
    distributor_.tick(now);
    if (!was_ready_ && distributor_.is_ready()) {
        was_ready_ = true;
        on_change_();
    }
}

bool manifest_follower::handle(const std::string& from, const wire::envelope& message,
                               steady_time now)
{
    distribution::message content;
    if (!distribution::from_wire(message, content)) {
        return false;
    }
    distributor_.receive(from, content, now);
    return true;
}

void manifest_follower::on_peer(const membership::member& peer, steady_time now)
{
    distributor_.on_peer_version(peer.id, peer.manifest_version, now);
}

} // namespace almondline::fleet
