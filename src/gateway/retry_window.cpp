#include "gateway/retry_window.h"

#include <algorithm>

namespace almondline::gateway {

namespace {

constexpr std::chrono::milliseconds slot_length{250};

retry_slot& slot_at(retry_window& window, const std::string& service, steady_time now)
{
    auto& slots = window.slots[service];
    while (!slots.empty() && now - slots.front().start > window.settings.window) {
        slots.pop_front();
    }
    if (slots.empty() || now - slots.back().start >= slot_length) {
        slots.push_back({now, 0, 0});
    }
    return slots.back();
}

} // namespace

void note_request(retry_window& window, const std::string& service, steady_time now)
{
    slot_at(window, service, now).requests += 1;
}

bool has_retry_left(retry_window& window, const std::string& service, std::size_t instances,
                    steady_time now)
{
    slot_at(window, service, now); // removes the slots that have left the window
    int requests = 0;
    int retries = 0;
    for (const auto& it : window.slots[service]) {
        requests += it.requests;
        retries += it.retries;
    }
    const auto& limits = window.settings;
    const auto sharing_instances = static_cast<double>(std::max<std::size_t>(1, instances));
    const double allowed =
        limits.used_share * (limits.ratio * requests + limits.extra / sharing_instances);
    return retries + 1 <= allowed;
}

bool consume_retry(retry_window& window, const std::string& service, std::size_t instances,
                   steady_time now)
{
    if (!has_retry_left(window, service, instances, now)) {
        return false;
    }
    slot_at(window, service, now).retries += 1;
    return true;
}

} // namespace almondline::gateway
