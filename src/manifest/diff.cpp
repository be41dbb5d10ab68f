#include "manifest/diff.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace almondline {

namespace {

struct element {
    std::string path; ///< for example "accounts[a]"
    std::vector<std::pair<std::string, std::string>> members;
};

constexpr std::size_t shown_hash_digits = 8;

std::string to_text(double value)
{
    std::ostringstream out;
    out.precision(12);
    out << value;
    return out.str();
}

std::string to_text(const std::vector<std::string>& items, std::size_t shown = std::string::npos)
{
    std::string out;
    for (const auto& it : items) {
        out += (out.empty() ? "" : ",") + it.substr(0, shown);
    }
    return out.empty() ? "none" : out;
}

std::string to_text(const std::vector<call_policy>& calls)
{
    std::vector<std::string> items;
    items.reserve(calls.size());
    for (const auto& it : calls) {
        items.push_back(it.method + " " + it.path + (it.is_idempotent ? " idempotent" : ""));
    }
    return to_text(items);
}

void add_queue_policies(const manifest& m, std::vector<element>& out)
{
    for (std::size_t i = 0; i < m.tiers.size(); ++i) {
        const auto& it = m.tiers[i];
        out.push_back({"tiers[" + it.name + "]",
                       {{"rank", std::to_string(i)}, {"floor", to_text(it.floor)}}});
    }
    for (const auto& it : m.kinds) {
        out.push_back({"kinds[" + it.name + "]",
                       {{"weight", to_text(it.weight)}, {"floor", to_text(it.floor)}}});
    }
    for (const auto& it : m.accounts) {
        out.push_back({"accounts[" + it.name + "]",
                       {{"weight", to_text(it.weight)},
                        {"max_in_progress", std::to_string(it.max_in_progress)},
                        {"tiers", to_text(it.tiers)},
                        {"key_hashes", to_text(it.key_hashes, shown_hash_digits)}}});
    }
}

void add_services(const manifest& m, std::vector<element>& out)
{
    for (const auto& it : m.services) {
        out.push_back({"services[" + it.name + "]",
                       {{"type", it.type == service_type::model ? "model" : "plain"},
                        {"models", to_text(it.models)},
                        {"default_tier", it.default_tier},
                        {"default_kind", it.default_kind},
                        {"deadline_ms", std::to_string(it.deadline.count())},
                        {"max_waiting", std::to_string(it.max_waiting)},
                        {"retry_budget_percent", std::to_string(it.retry_budget_percent)},
                        {"slice_replicas", std::to_string(it.slice_replicas)},
                        {"plain_max_in_flight", std::to_string(it.plain_max_in_flight)},
                        {"calls", to_text(it.calls)}}});
    }
}

void add_capacity(const manifest& m, std::vector<element>& out)
{
    for (const auto& it : m.engine_classes) {
        out.push_back({"engine_classes[" + it.name + "]",
                       {{"prefill_tokens_per_second", to_text(it.prefill_tokens_per_second)},
                        {"decode_tokens_per_second", to_text(it.decode_tokens_per_second)},
                        {"kv_tokens", to_text(it.kv_tokens)},
                        {"max_in_flight", std::to_string(it.max_in_flight)}}});
    }
    for (const auto& it : m.placements) {
        out.push_back({"placements[" + it.model + "]",
                       {{"size_mb", to_text(it.size_mb)},
                        {"min_replicas", std::to_string(it.min_replicas)},
                        {"max_replicas", std::to_string(it.max_replicas)}}});
    }
}

std::vector<element> flatten(const manifest& m)
{
    std::vector<element> out;
    out.push_back({"manifest", {{"name", m.name}}});
    add_queue_policies(m, out);
    add_services(m, out);
    add_capacity(m, out);
    return out;
}

const element* find_element(const std::vector<element>& list, const std::string& path)
{
    const auto it =
        std::find_if(list.begin(), list.end(), [&](const auto& x) { return x.path == path; });
    return it == list.end() ? nullptr : &*it;
}

std::string describe_added(const element& it)
{
    std::string line = "+ " + it.path;
    for (const auto& [key, value] : it.members) {
        line += " " + key + "=" + value;
    }
    return line;
}

void add_changes(const element& before, const element& after, std::vector<std::string>& lines)
{
    for (std::size_t i = 0; i < after.members.size(); ++i) {
        const auto& [key, value] = after.members[i];
        const auto& old_value = before.members[i].second;
        if (value != old_value) {
            lines.push_back("~ " + after.path + "." + key + ": " + old_value + " -> " + value);
        }
    }
}

} // namespace

std::vector<std::string> diff_manifests(const manifest& before, const manifest& after)
{
    const auto old_elements = flatten(before);
    const auto new_elements = flatten(after);
    std::vector<std::string> lines;
    for (const auto& it : old_elements) {
        if (find_element(new_elements, it.path) == nullptr) {
            lines.push_back("- " + it.path);
        }
    }
    for (const auto& it : new_elements) {
        const auto* previous = find_element(old_elements, it.path);
        if (previous == nullptr) {
            lines.push_back(describe_added(it));
            continue;
        }
        add_changes(*previous, it, lines);
    }
    return lines;
}

} // namespace almondline
