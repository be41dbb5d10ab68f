#include "granting/internal/granter_core.h"
#include "granting/internal/messages.h"

#include <algorithm>
#include <tuple>

namespace almondline::granting {

namespace {

constexpr std::chrono::milliseconds no_model_retry_after{2000};
// Bounds the memory for unserved requests; the demand of this many is high enough to be noticed.
constexpr std::size_t max_unserved = 1000;

bool is_in_use(const routing::replica& it)
{
    return it.is_present && !it.is_leaving && !it.spec.is_leaving;
}

} // namespace

bool granter_core::is_served_by_all(const std::string& model) const
{
    return std::all_of(table.replicas.begin(), table.replicas.end(), [&](const auto& it) {
        return !is_in_use(it) || routing::is_draining(it) || routing::has_model(it, model);
    });
}

bool granter_core::is_served_by_any(const std::string& model) const
{
    return std::any_of(table.replicas.begin(), table.replicas.end(), [&](const auto& it) {
        return is_in_use(it) && !routing::is_draining(it) && routing::has_model(it, model);
    });
}

void granter_core::check_models(steady_time now)
{
    std::map<std::string, bool> is_served;
    std::vector<scheduling::credit_request> unserved;
    for (const auto& [id, it] : queue.waiting) {
        const auto& model = it.request.model;
        const auto known = is_served.find(model);
        const bool served = known != is_served.end() ? known->second : is_served_by_any(model);
        is_served[model] = served;
        if (served) {
            no_model_since_.erase(model);
            continue;
        }
        const auto since = no_model_since_.try_emplace(model, now).first->second;
        if (now - since >= settings.no_model_delay) {
            unserved.push_back(it.request);
        }
    }
    std::erase_if(no_model_since_, [&](const auto& it) { return is_served_by_any(it.first); });
    std::stable_sort(unserved.begin(), unserved.end(),
                     [](const auto& a, const auto& b) { return a.tier > b.tier; });
    for (const auto& it : unserved) {
        scheduling::cancel(queue, it.request_id, now);
        refuse(it,
               {verdict::not_run, std::string{code_no_backend},
                "no backend server has loaded the model", no_model_retry_after},
               "refusal");
        unserved_.push_back({now, it});
    }
    while (!unserved_.empty() &&
           (unserved_.size() > max_unserved ||
            now - unserved_.front().refused_at > settings.unserved_demand_window)) {
        unserved_.pop_front();
    }
}

std::vector<model_work> granter_core::work_by_model() const
{
    std::map<std::tuple<std::string, int, std::string>, model_work> found;
    const auto entry = [&](const std::string& model, int tier, const std::string& account) {
        auto& it = found[{model, tier, account}];
        it.model = model;
        it.tier = tier;
        it.account = account;
        return &it;
    };
    const auto add_waiting = [&](const scheduling::credit_request& request) {
        auto* it = entry(request.model, request.tier, request.account);
        it->waiting_cost += request.cost;
        ++it->waiting;
    };
    for (const auto& it : queue.waiting) {
        add_waiting(it.second.request);
    }
    for (const auto& it : unserved_) {
        add_waiting(it.request);
    }
    credits.for_each([&](const issued_credit& issued) {
        auto* it = entry(issued.shape.model, issued.running.tier, issued.running.account);
        it->running_cost += issued.running.cost;
        ++it->running;
    });
    std::vector<model_work> work;
    work.reserve(found.size());
    for (auto& it : found) {
        work.push_back(std::move(it.second));
    }
    return work;
}

} // namespace almondline::granting
