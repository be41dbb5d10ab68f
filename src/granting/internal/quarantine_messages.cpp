#include "granting/internal/quarantine_messages.h"

#include <algorithm>

namespace almondline::granting {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds max_age{std::chrono::hours{24}};

std::int64_t age_of(steady_time then, steady_time now)
{
    return std::chrono::duration_cast<milliseconds>(now - then).count();
}

milliseconds read_time(std::int64_t ms)
{
    return milliseconds{std::clamp<std::int64_t>(ms, -max_age.count(), max_age.count())};
}

milliseconds read_age(std::int64_t ms)
{
    return std::max(milliseconds{0}, read_time(ms));
}

crash_evidence read_crash(const wire::server_crash& message)
{
    return {message.backend_id,
            {message.prompt_parts.begin(), message.prompt_parts.end()},
            read_age(message.ms_ago)};
}

wire::server_crash to_wire(const crash_evidence& crash)
{
    wire::server_crash out;
    out.backend_id = crash.backend_id;
    out.prompt_parts.assign(crash.suspects.begin(), crash.suspects.end());
    if (crash.age.count() > 0) {
        out.__set_ms_ago(crash.age.count());
    }
    return out;
}

} // namespace

wire::envelope make_decisions_message(const std::string& service,
                                      const std::vector<quarantine_decision>& decisions,
                                      steady_time now)
{
    wire::quarantine_message out;
    out.service_name = service;
    for (const auto& it : decisions) {
        wire::part_decision decision;
        decision.part = static_cast<std::int64_t>(it.id);
        decision.quarantined = it.is_quarantined;
        decision.decided_ms_ago = age_of(it.decided_at, now);
        decision.seen_ms_ago = age_of(it.last_seen, now);
        decision.trial_in_ms = -age_of(it.next_trial, now);
        decision.trial_interval_ms = it.trial_interval.count();
        if (!it.rivals.empty()) {
            decision.__set_rivals({it.rivals.begin(), it.rivals.end()});
        }
        out.decisions.push_back(decision);
    }
    wire::envelope message;
    message.__set_quarantine(out);
    return message;
}

wire::envelope make_crash_message(const std::string& service, const crash_evidence& crash)
{
    wire::quarantine_message out;
    out.service_name = service;
    out.__set_crashes({to_wire(crash)});
    wire::envelope message;
    message.__set_quarantine(out);
    return message;
}

wire::envelope make_crash_history(const std::string& pool,
                                  const std::vector<crash_evidence>& crashes)
{
    wire::crash_history out;
    out.pool = pool;
    out.crashes.reserve(crashes.size());
    for (const auto& it : crashes) {
        out.crashes.push_back(to_wire(it));
    }
    wire::envelope message;
    message.__set_crashes(out);
    return message;
}

std::vector<quarantine_decision> read_decisions(const wire::quarantine_message& message,
                                                steady_time now)
{
    std::vector<quarantine_decision> out;
    for (const auto& it : message.decisions) {
        quarantine_decision decision;
        decision.id = static_cast<fingerprint>(it.part);
        decision.is_quarantined = it.quarantined;
        decision.decided_at = now - read_age(it.decided_ms_ago);
        decision.last_seen = now - read_age(it.seen_ms_ago);
        decision.next_trial = now + read_time(it.trial_in_ms);
        decision.trial_interval = read_age(it.trial_interval_ms);
        decision.rivals.assign(it.rivals.begin(), it.rivals.end());
        out.push_back(decision);
    }
    return out;
}

std::vector<crash_evidence> read_crashes(const std::vector<wire::server_crash>& messages)
{
    std::vector<crash_evidence> out;
    out.reserve(messages.size());
    for (const auto& it : messages) {
        out.push_back(read_crash(it));
    }
    return out;
}

crash_evidence read_crash(const wire::release_message& message)
{
    return {message.backend_id,
            {message.crashed_parts.begin(), message.crashed_parts.end()},
            milliseconds{0}};
}

} // namespace almondline::granting
