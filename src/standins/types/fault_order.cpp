#include "standins/types/fault_order.h"

#include "common/json.h"

#include <boost/leaf/error.hpp>
#include <utility>

namespace almondline::standins {

namespace {

constexpr std::pair<fault_kind, std::string_view> kind_names[] = {
    {fault_kind::refuse_connections, "refuse-connections"},
    {fault_kind::reset_before, "reset-before"},
    {fault_kind::reset_during, "reset-during"},
    {fault_kind::reset_after, "reset-after"},
    {fault_kind::silence, "silence"},
    {fault_kind::cut_stream, "cut-stream"},
    {fault_kind::delay, "delay"},
    {fault_kind::refuse_admission, "refuse-admission"},
    {fault_kind::outage, "outage"},
    {fault_kind::lost_answer, "lost-answer"},
};

bool parse_kind(std::string_view text, fault_kind& kind)
{
    for (const auto& [candidate, name] : kind_names) {
        if (name == text) {
            kind = candidate;
            return true;
        }
    }
    return false;
}

} // namespace

std::string_view to_text(fault_kind kind)
{
    for (const auto& [candidate, name] : kind_names) {
        if (candidate == kind) {
            return name;
        }
    }
    return "unknown";
}

boost::leaf::result<fault_order> parse_fault_order(std::string_view body)
{
    BOOST_LEAF_AUTO(json, parse_json(body));
    fault_order order;
    if (!parse_kind(string_or(json, "kind"), order.kind)) {
        return boost::leaf::new_error(parse_error{{}, 0, "kind", "unknown fault kind"});
    }
    order.method = string_or(json, "method");
    order.path = string_or(json, "path");
    order.count = static_cast<int>(integer_or(json, "count", 0));
    order.after_events = static_cast<int>(integer_or(json, "after_events", 0));
    order.duration = std::chrono::milliseconds{integer_or(json, "for_ms", 0)};
    order.delay = std::chrono::milliseconds{integer_or(json, "delay_ms", 0)};
    if (order.count < 0 || order.after_events < 0 || order.duration.count() < 0 ||
        order.delay.count() < 0) {
        return boost::leaf::new_error(parse_error{
            {}, 0, "", "count, after_events, for_ms and delay_ms must not be negative"});
    }
    if (order.kind == fault_kind::refuse_connections && order.duration.count() == 0) {
        // A closed listener can't receive an order to open again.
        return boost::leaf::new_error(parse_error{{}, 0, "for_ms", "required for this kind"});
    }
    return order;
}

} // namespace almondline::standins
