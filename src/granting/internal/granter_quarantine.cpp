#include "common/hash.h"
#include "common/log.h"
#include "granting/internal/granter_core.h"

/// Refusals of requests with quarantined prompt parts.
namespace almondline::granting {

bool granter_core::check_quarantine(const scheduling::credit_request& request, steady_time now)
{
    if (quarantine_ == nullptr || scheduling::is_waiting(queue, request.request_id)) {
        return true;
    }
    const auto hold = admit(*quarantine_, request.fingerprints, now);
    if (hold) {
        refuse_quarantined(request, *hold);
    }
    return !hold;
}

void granter_core::refuse_quarantined(const scheduling::credit_request& request,
                                      const quarantine_hold& hold)
{
    refuse(request, make_refusal(hold), "refusal");
}

void granter_core::check_quarantines(steady_time now)
{
    if (quarantine_ == nullptr || applied_quarantine_changes_ == quarantine_->changes) {
        return;
    }
    applied_quarantine_changes_ = quarantine_->changes;
    std::vector<std::pair<scheduling::credit_request, quarantine_hold>> refused;
    for (const auto& [id, it] : queue.waiting) {
        const auto& ids = it.request.fingerprints;
        const auto hold = quarantine_wait(*quarantine_, ids, now);
        if (hold && !is_trial(*quarantine_, ids)) {
            refused.emplace_back(it.request, *hold);
        }
    }
    for (const auto& [request, hold] : refused) {
        scheduling::cancel(queue, request.request_id, now);
        refuse_quarantined(request, hold);
    }
}

void granter_core::cancel_trial(const fingerprints& ids, steady_time now)
{
    if (quarantine_ != nullptr) {
        granting::cancel_trial(*quarantine_, ids, now);
    }
}

void granter_core::handle_start(const std::string& from, const wire::start_message& message,
                                steady_time now)
{
    const auto* entry = credits.find(message.request_id);
    if (entry != nullptr && entry->holder == from &&
        entry->granted.credit_id == message.credit_id) {
        note_answer(*entry, now);
    }
}

void granter_core::note_answer(const issued_credit& entry, steady_time now)
{
    if (quarantine_ == nullptr || entry.suspects.empty()) {
        return;
    }
    for (const auto id : granting::note_answer(*quarantine_, entry.suspects, now)) {
        log_event("granting", log_level::warning, "prompt-quarantine-ended",
                  {{"part", to_hex(id)},
                   {"kind", is_whole_request(id) ? "request" : "part"},
                   {"pool", settings.pool},
                   {"request", entry.granted.request_id},
                   {"backend", entry.granted.backend_id}});
    }
}

} // namespace almondline::granting
