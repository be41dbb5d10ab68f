#include "granting/quarantine_exchange.h"

#include "common/hash.h"
#include "common/log.h"
#include "granting/internal/quarantine_messages.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace almondline::granting {

quarantine_exchange::quarantine_exchange(std::string instance_id, const clock_source& clock,
                                         peer_sender& sender, owner_lookup owners,
                                         service_lookup services,
                                         quarantine_exchange_settings settings)
    : instance_id_{std::move(instance_id)}, clock_{clock}, sender_{sender}, owners_of_{std::move(
                                                                                owners)},
      service_of_pool_{std::move(services)}, settings_{settings}, random_{stable_hash(instance_id_)}
{
}

quarantine_table& quarantine_exchange::table_of(const std::string& service)
{
    const auto [it, is_new] = services_.try_emplace(service);
    if (is_new) {
        it->second.table.settings = settings_.quarantine;
    }
    return it->second.table;
}

const quarantine_table* quarantine_exchange::find_table(const std::string& service) const
{
    const auto it = services_.find(service);
    return it == services_.end() ? nullptr : &it->second.table;
}

void quarantine_exchange::set_members(std::vector<std::string> ids)
{
    members_ = std::move(ids);
    std::erase(members_, instance_id_);
}

bool quarantine_exchange::handle(const wire::envelope& message)
{
    if (message.__isset.release) {
        const auto crash = read_crash(message.release);
        const auto service =
            crash.suspects.empty() ? std::string{} : service_of_pool_(message.release.pool);
        if (!service.empty()) {
            report_crash(service, crash);
        }
        return false;
    }
    if (message.__isset.crashes) {
        const auto service = service_of_pool_(message.crashes.pool);
        for (const auto& it : read_crashes(message.crashes.crashes)) {
            if (!service.empty()) {
                note_crash(service, it);
            }
        }
        return true;
    }
    if (!message.__isset.quarantine) {
        return false;
    }
    const auto now = clock_.now();
    const auto& service = message.quarantine.service_name;
    for (const auto& it : read_decisions(message.quarantine, now)) {
        apply(service, it, now);
    }
    for (const auto& it : read_crashes(message.quarantine.crashes)) {
        note_crash(service, it);
    }
    return true;
}

void quarantine_exchange::report_crash(const std::string& service, const crash_evidence& crash)
{
    note_crash(service, crash);
    const auto message = make_crash_message(service, crash);
    for (const auto& it : owners_of_(service)) {
        if (it != instance_id_) {
            sender_.send(it, message);
        }
    }
}

void quarantine_exchange::note_crash(const std::string& service, const crash_evidence& crash)
{
    granting::note_crash(table_of(service), crash, clock_.now());
}

void quarantine_exchange::judge_crashes(const std::string& service, quarantine_table& table,
                                        steady_time now)
{
    for (const auto& it : judge(table, now)) {
        log_event("granting", log_level::warning, "prompt-quarantined",
                  {{"part", to_hex(it.id)},
                   {"kind", is_whole_request(it.id) ? "request" : "part"},
                   {"service", service},
                   {"backend", it.last_backend},
                   {"crashes", it.crashes},
                   {"span_ms", it.span.count()},
                   {"rivals", it.rivals},
                   {"was_sound", it.was_sound ? 1 : 0}});
    }
}

void quarantine_exchange::apply(const std::string& service, const quarantine_decision& decision,
                                steady_time now)
{
    if (!apply_decision(table_of(service), decision, now)) {
        return;
    }
    log_event("granting", log_level::info, "prompt-quarantine-learned",
              {{"part", to_hex(decision.id)},
               {"service", service},
               {"state", decision.is_quarantined ? "on" : "off"}});
}

void quarantine_exchange::tick(steady_time now)
{
    for (auto& [service, it] : services_) {
        judge_crashes(service, it.table, now);
        if (it.table.own_changes != it.announced_changes) {
            announce(service, it);
        }
    }
    if (now < next_round_) {
        return;
    }
    next_round_ = now + settings_.interval;
    for (auto& [service, it] : services_) {
        prune(it.table, now);
        send_decisions(service, pick_members(settings_.fanout));
    }
}

void quarantine_exchange::announce(const std::string& service, entry& it)
{
    it.announced_changes = it.table.own_changes;
    auto receivers = owners_of_(service);
    std::erase(receivers, instance_id_);
    const auto others = pick_members(settings_.first_fanout);
    std::copy_if(others.begin(), others.end(), std::back_inserter(receivers), [&](const auto& id) {
        return std::find(receivers.begin(), receivers.end(), id) == receivers.end();
    });
    send_decisions(service, receivers);
}

std::vector<std::string> quarantine_exchange::pick_members(std::size_t count)
{
    std::vector<std::string> out;
    std::sample(members_.begin(), members_.end(), std::back_inserter(out), count, random_);
    return out;
}

void quarantine_exchange::send_decisions(const std::string& service,
                                         const std::vector<std::string>& receivers)
{
    const auto& decisions = table_of(service).decisions;
    if (decisions.empty() || receivers.empty()) {
        return;
    }
    std::vector<quarantine_decision> chosen;
    chosen.reserve(decisions.size());
    for (const auto& [part, it] : decisions) {
        chosen.push_back(it);
    }
    std::shuffle(chosen.begin(), chosen.end(), random_);
    chosen.resize(std::min(chosen.size(), settings_.max_decisions_per_message));
    const auto message = make_decisions_message(service, chosen, clock_.now());
    for (const auto& it : receivers) {
        sender_.send(it, message);
    }
}

std::size_t quarantine_exchange::quarantined_count() const
{
    std::size_t out = 0;
    for (const auto& [service, it] : services_) {
        out += granting::quarantined_count(it.table);
    }
    return out;
}

} // namespace almondline::granting
