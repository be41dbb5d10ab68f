#include "granting/internal/load_messages.h"

#include <algorithm>

namespace almondline::granting {

namespace {

/// Limits of what a message may say, far above what a slice has.
constexpr int max_count = 1'000'000;
constexpr std::size_t max_tiers = 256;

void remove_trailing_zeros(std::vector<int>& counts)
{
    while (!counts.empty() && counts.back() == 0) {
        counts.pop_back();
    }
}

int read_count(int value)
{
    return std::clamp(value, 0, max_count);
}

} // namespace

balance::slice_load make_slice_load(const scheduling::queue_state& queue,
                                    const scheduling::slot_view& slots)
{
    balance::slice_load out;
    out.slots = slots.total;
    out.free_slots = slots.free;
    for (const auto& tier : queue.tiers) {
        out.waiting.push_back(static_cast<int>(tier.waiting));
        if (tier.floor.in_progress > 0) {
            out.lowest_running = tier.rank;
        }
    }
    remove_trailing_zeros(out.waiting);
    return out;
}

wire::slice_load to_wire(const balance::slice_load& load)
{
    wire::slice_load out;
    out.slots = load.slots;
    out.free_slots = load.free_slots;
    if (!load.waiting.empty()) {
        out.__set_waiting(load.waiting);
    }
    if (load.lowest_running != balance::slice_load::none) {
        out.__set_lowest_running(load.lowest_running);
    }
    return out;
}

balance::slice_load from_wire(const wire::slice_load& message)
{
    balance::slice_load out;
    out.slots = read_count(message.slots);
    out.free_slots = std::min(read_count(message.free_slots), out.slots);
    const auto tiers = std::min(message.waiting.size(), max_tiers);
    std::transform(message.waiting.begin(),
                   message.waiting.begin() + static_cast<std::ptrdiff_t>(tiers),
                   std::back_inserter(out.waiting), read_count);
    remove_trailing_zeros(out.waiting);
    if (message.__isset.lowest_running) {
        out.lowest_running = read_count(message.lowest_running);
    }
    return out;
}

} // namespace almondline::granting
