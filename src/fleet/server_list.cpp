#include "fleet/server_list.h"

#include "common/log.h"
#include "peer/wire.h"

#include <algorithm>
#include <utility>

namespace almondline::fleet {

using std::chrono::milliseconds;

namespace {

/// Upper limit for the age that a peer reports; larger values are reduced to it.
constexpr milliseconds max_age{60'000};
/// Watchers that a follower asks in quick succession while each replies that it can't read the
/// list.
constexpr int max_early_requests = 4;

wire::listed_server to_wire(const listed_instance& it)
{
    wire::listed_server out;
    out.id = it.id;
    out.service_name = it.service;
    out.address = it.address;
    out.failure_domain = it.failure_domain;
    out.incarnation = it.incarnation;
    out.max_in_flight = it.max_in_flight;
    out.leaving = it.is_leaving;
    out.__set_report_number(it.report_number);
    return out;
}

listed_instance from_wire(const wire::listed_server& it)
{
    listed_instance out;
    out.id = it.id;
    out.service = it.service_name;
    out.engine_class = it.service_name;
    out.address = it.address;
    out.failure_domain = it.failure_domain;
    out.incarnation = it.incarnation;
    out.max_in_flight = it.max_in_flight;
    out.is_leaving = it.leaving;
    out.report_number = it.report_number;
    return out;
}

} // namespace

server_list::server_list(watched_instance_list& source, const clock_source& clock,
                         const server_list_settings& settings, server_list_callbacks callbacks)
    : source_{source}, clock_{clock}, settings_{settings}, callbacks_{std::move(callbacks)}
{
}

void server_list::tick(steady_time now)
{
    const auto watchers = callbacks_.watchers ? callbacks_.watchers() : std::vector<std::string>{};
    if (watchers.empty()) {
        needs_read_ = std::exchange(is_following_, false) || needs_read_;
    }
    else if (is_known() && !is_failing_ && follow_watchers(watchers, now)) {
        return;
    }
    if (is_watching_ && is_watch_unreliable()) {
        abandon_watch(now);
    }
    if (!is_calling_ && now >= next_call_) {
        start_call(now);
    }
    if (is_failing_ && now >= next_peer_request_) {
        request_from_peer(now);
    }
}

void server_list::note_leaving(const std::string& id)
{
    if (fleet::note_leaving(registry_, id)) {
        callbacks_.on_change();
    }
}

void server_list::note_backoff(const std::string& id, steady_time until)
{
    fleet::note_backoff(registry_, id, until);
}

/// Requests changes from the instances that watch the list. Returns false if they don't reply in
/// time, so that this instance has to read the list itself.
bool server_list::follow_watchers(const std::vector<std::string>& watchers, steady_time now)
{
    if (!std::exchange(is_following_, true)) {
        ++latest_call_; // the result of a call in progress is not needed
        is_calling_ = false;
        is_watching_ = false;
        follow_timeout_start_ = now;
    }
    if (now - follow_timeout_start_ >= settings_.follow_timeout) {
        needs_read_ = true;
        return false;
    }
    if (now >= next_peer_request_) {
        next_peer_request_ = now + settings_.follow_interval;
        send_request(watchers);
    }
    return true;
}

void server_list::start_call(steady_time now)
{
    is_calling_ = true;
    next_call_ = now + retry_interval();
    ++latest_call_;
    const bool is_other_era = source_.health().era != registry_.era;
    if (needs_read_ || is_other_era || (has_skipped_removals_ && is_complete(registry_, now))) {
        start_read();
    }
    else {
        start_watch(now);
    }
}

void server_list::start_read()
{
    source_.fetch([this, call = latest_call_](const instance_list_result& result) {
        if (call == latest_call_) {
            handle_read_result(result);
        }
    });
}

void server_list::start_watch(steady_time now)
{
    is_watching_ = true;
    watch_started_ = now;
    auto wait = settings_.watch_wait;
    if (!is_complete(registry_, now)) {
        wait = std::min(wait, std::chrono::ceil<milliseconds>(registry_.complete_from - now));
    }
    source_.watch(watched_revision_, wait,
                  [this, call = latest_call_](const instance_watch_result& result) {
                      if (call == latest_call_) {
                          handle_watch_result(result);
                      }
                  });
}

/// A watch that was started before its service failed may never end, or may report entries as
/// removed that merely expired.
bool server_list::is_watch_unreliable() const
{
    return source_.health().last_failure >= watch_started_;
}

void server_list::abandon_watch(steady_time now)
{
    ++latest_call_;
    is_calling_ = false;
    is_watching_ = false;
    needs_read_ = true;
    next_call_ = now;
    note_failure("another call to the service failed");
}

milliseconds server_list::retry_interval() const
{
    return is_known() ? settings_.call_interval : settings_.first_interval;
}

void server_list::handle_read_result(const instance_list_result& result)
{
    const auto now = clock_.now();
    is_calling_ = false;
    if (!result.is_ok) {
        note_failure(result.message);
        return;
    }
    if (result.era < registry_.era) {
        return; // the answer is older than the restore
    }
    note_success(now);
    if (result.era > registry_.era) {
        start_era(registry_, result.era, now);
        watched_revision_ = 0;
    }
    watched_revision_ = std::max(watched_revision_, result.revision);
    needs_read_ = false;
    has_skipped_removals_ = !is_complete(registry_, now);
    if (apply_read(registry_, result.instances, result.revision, now)) {
        callbacks_.on_change();
    }
}

void server_list::handle_watch_result(const instance_watch_result& result)
{
    const auto now = clock_.now();
    if (is_watch_unreliable()) {
        abandon_watch(now);
        return;
    }
    is_calling_ = false;
    is_watching_ = false;
    if (result.status != watch_status::done) {
        needs_read_ = true;
        next_call_ = now;
    }
    if (result.status == watch_status::failed) {
        note_failure(result.message);
        return;
    }
    note_success(now);
    if (result.era != registry_.era) {
        needs_read_ = true;
        next_call_ = now;
        return;
    }
    if (result.status == watch_status::history_gone) {
        return;
    }
    watched_revision_ = std::max(watched_revision_, result.revision);
    if (apply_changes(registry_, result.changes, now)) {
        callbacks_.on_change();
    }
}

void server_list::note_success(steady_time now)
{
    const bool is_first = !is_known();
    const bool is_after_outage = is_failing_ && now - last_answer_ > settings_.outage_after;
    // An instance that starts during an outage can't tell whether missing entries have expired.
    if (is_first || is_after_outage) {
        start_return_grace(registry_, now);
    }
    if (is_first) {
        next_call_ = now + settings_.first_watch_delay;
    }
    last_success_ = now;
    follow_timeout_start_ = now;
    if (std::exchange(is_failing_, false)) {
        log_event("fleet", log_level::info, "server-list-regained",
                  {{"revision", registry_.revision}, {"was_out", is_after_outage}});
    }
}

void server_list::note_failure(const std::string& cause)
{
    if (!std::exchange(is_failing_, true)) {
        last_answer_ = std::max(last_success_, source_.health().last_answer);
        log_event("fleet", log_level::warning, "server-list-lost",
                  {{"cause", cause}, {"revision", registry_.revision}});
    }
}

void server_list::request_from_peer(steady_time now)
{
    const auto peers = callbacks_.live_peers();
    if (peers.empty()) {
        return;
    }
    next_peer_request_ = now + settings_.peer_interval;
    send_request(peers);
}

void server_list::send_request(const std::vector<std::string>& peers)
{
    wire::server_list_request request;
    // Only a reply with the whole list reveals the removals that were skipped.
    request.known_revision =
        has_skipped_removals_ ? 0 : static_cast<std::int64_t>(registry_.revision);
    request.__set_known_era(static_cast<std::int64_t>(registry_.era));
    wire::envelope message;
    message.__set_servers_request(request);
    callbacks_.send(peers[next_peer_++ % peers.size()], message);
}

/// Brings the request to the next watcher forward. Several in a row have no reliable list if the
/// service is down for all of them; then the usual interval applies.
void server_list::request_again_soon(steady_time now)
{
    ++unreliable_replies_;
    if (is_following_ && unreliable_replies_ % max_early_requests != 0) {
        next_peer_request_ = std::min(next_peer_request_, now + settings_.early_interval);
    }
}

bool server_list::handle(const std::string& from, const wire::envelope& message, steady_time now)
{
    if (message.__isset.servers_request) {
        send_reply(from, message.servers_request, now);
        return true;
    }
    if (message.__isset.servers) {
        handle_reply(from, message, now);
        return true;
    }
    return false;
}

/// Includes the servers only if this instance knows that its list is complete. Otherwise the other
/// instance would drop servers whose entries merely expired.
void server_list::send_reply(const std::string& to, const wire::server_list_request& request,
                             steady_time now)
{
    if (!is_known()) {
        return;
    }
    const bool is_reliable = !is_failing_ && is_complete(registry_, now);
    wire::server_list_reply reply;
    reply.revision = static_cast<std::int64_t>(registry_.revision);
    reply.__set_era(static_cast<std::int64_t>(registry_.era));
    const auto known = std::max(last_success_, source_.health().last_answer);
    reply.age_ms = std::chrono::duration_cast<milliseconds>(now - known).count();
    const bool is_known_to_peer =
        reply.era == request.known_era && reply.revision == request.known_revision;
    reply.unchanged = !is_reliable || is_known_to_peer;
    if (!is_reliable) {
        reply.__set_unreliable(true);
    }
    if (!reply.unchanged) {
        for (const auto& it : present_replicas(registry_)) {
            reply.servers.push_back(to_wire(it));
        }
    }
    wire::envelope message;
    message.__set_servers(reply);
    callbacks_.send(to, message);
}

void server_list::handle_reply(const std::string& from, const wire::envelope& message,
                               steady_time now)
{
    const auto& reply = message.servers;
    const auto revision = static_cast<std::uint64_t>(std::max<std::int64_t>(0, reply.revision));
    const auto era = static_cast<std::uint64_t>(std::max<std::int64_t>(0, reply.era));
    follow_timeout_start_ = now;
    const bool is_older = std::pair{era, revision} < std::pair{registry_.era, registry_.revision};
    if ((!is_failing_ && !is_following_) || is_older) {
        return;
    }
    if (reply.unreliable) {
        request_again_soon(now);
        return;
    }
    unreliable_replies_ = 0;
    const milliseconds age{std::clamp<std::int64_t>(reply.age_ms, 0, max_age.count())};
    last_success_ = std::max(last_success_, now - age);
    last_answer_ = std::max(last_answer_, last_success_);
    if (reply.unchanged) {
        return;
    }
    std::vector<listed_instance> servers;
    std::transform(reply.servers.begin(), reply.servers.end(), std::back_inserter(servers),
                   from_wire);
    if (era > registry_.era) {
        start_era(registry_, era, now);
        watched_revision_ = 0;
    }
    has_skipped_removals_ = !is_complete(registry_, now);
    if (apply_read(registry_, servers, revision, now)) {
        log_event("fleet", log_level::info, "server-list-from-peer",
                  {{"peer", from}, {"revision", revision}, {"age_ms", age.count()}});
        callbacks_.on_change();
    }
}

} // namespace almondline::fleet
