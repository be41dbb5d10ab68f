#include "standins/internal/fault_board.h"

#include <algorithm>

namespace almondline::standins {

namespace {

bool is_over(const fault_board::entry& it, steady_time now)
{
    const bool is_expired = it.ends != steady_time{} && now >= it.ends;
    return is_expired || (it.order.count > 0 && it.used >= it.order.count);
}

bool is_match(const fault_order& order, fault_kind kind, std::string_view method,
              std::string_view path)
{
    return order.kind == kind && (order.method.empty() || order.method == method) &&
           path.substr(0, order.path.size()) == order.path;
}

} // namespace

void add_fault(fault_board& board, const fault_order& order, steady_time now)
{
    const bool has_end = order.lasting.count() > 0;
    board.entries.push_back({order, has_end ? now + order.lasting : steady_time{}, 0});
}

std::optional<fault_order> take_fault(fault_board& board, fault_kind kind, std::string_view method,
                                      std::string_view path, steady_time now)
{
    std::erase_if(board.entries, [now](const auto& it) { return is_over(it, now); });
    for (auto& it : board.entries) {
        if (is_match(it.order, kind, method, path)) {
            ++it.used;
            return it.order;
        }
    }
    return std::nullopt;
}

} // namespace almondline::standins
