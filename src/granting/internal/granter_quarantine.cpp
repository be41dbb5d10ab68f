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
    const auto wait = admit(*quarantine_, request.prompt_parts, now);
    if (wait) {
        refuse_quarantined(request, *wait);
    }
    return !wait;
}

void granter_core::refuse_quarantined(const scheduling::credit_request& request,
                                      std::chrono::milliseconds retry_after)
{
    refuse(request,
           {verdict::not_run, std::string{code_quarantined},
            "a part of the prompt crashed several backend servers", retry_after},
           "refusal");
}

void granter_core::check_quarantines(steady_time now)
{
    if (quarantine_ == nullptr || applied_quarantine_changes_ == quarantine_->changes) {
        return;
    }
    applied_quarantine_changes_ = quarantine_->changes;
    std::vector<scheduling::credit_request> refused;
    for (const auto& [id, it] : queue.waiting) {
        if (quarantine_wait(*quarantine_, it.request.prompt_parts, now)) {
            refused.push_back(it.request);
        }
    }
    for (const auto& it : refused) {
        scheduling::cancel(queue, it.request_id, now);
        refuse_quarantined(it, *quarantine_wait(*quarantine_, it.prompt_parts, now));
    }
}

void granter_core::note_answer(const issued_credit& entry, steady_time now)
{
    if (quarantine_ == nullptr || entry.parts.empty()) {
        return;
    }
    for (const auto part : granting::note_answer(*quarantine_, entry.parts, now)) {
        log_event("granting", log_level::warning, "prompt-quarantine-ended",
                  {{"part", to_hex(part)},
                   {"pool", settings.pool},
                   {"request", entry.granted.request_id},
                   {"backend", entry.granted.backend_id}});
    }
}

} // namespace almondline::granting
