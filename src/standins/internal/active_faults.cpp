#include "standins/internal/active_faults.h"

#include <algorithm>

namespace almondline::standins {

namespace {

bool has_ended(const active_faults::entry& it, steady_time now)
{
    const bool is_expired = it.ends != steady_time{} && now >= it.ends;
    return is_expired || (it.order.count > 0 && it.used >= it.order.count);
}

bool matches(const fault_order& order, fault_kind kind, std::string_view method,
             std::string_view path)
{
    return order.kind == kind && (order.method.empty() || order.method == method) &&
           path.substr(0, order.path.size()) == order.path;
}

} // namespace

void add_fault(active_faults& active, const fault_order& order, steady_time now)
{
    const bool has_end = order.duration.count() > 0;
    active.entries.push_back({order, has_end ? now + order.duration : steady_time{}, 0});
}

std::optional<fault_order> consume_fault(active_faults& active, fault_kind kind,
                                         std::string_view method, std::string_view path,
                                         steady_time now)
{
    std::erase_if(active.entries, [now](const auto& it) { return has_ended(it, now); });
    for (auto& it : active.entries) {
        if (matches(it.order, kind, method, path)) {
            ++it.used;
            return it.order;
        }
    }
    return std::nullopt;
}

} // namespace almondline::standins
