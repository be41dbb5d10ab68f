#include "manifest/internal/check.h"

#include <algorithm>
#include <set>

namespace almondline::manifest_internal {

namespace {

// Names appear in headers, paths, log lines and store keys.
constexpr std::string_view name_characters = "abcdefghijklmnopqrstuvwxyz"
                                             "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-/:";
constexpr std::size_t max_name_size = 64;

std::string element_path(const char* list, std::size_t index, const char* member)
{
    return std::string{list} + "[" + std::to_string(index) + "]." + member;
}

void check_name(const std::string& name, const std::string& path, fault_collector& faults)
{
    if (name.empty() || name.size() > max_name_size) {
        faults.add(path, "must have 1 to 64 characters");
    }
    if (name.find_first_not_of(name_characters) != name.npos) {
        faults.add(path, "\"" + name + "\" may hold letters, digits and . _ - / : only");
    }
}

template <class List>
void check_names(const List& list, const char* list_name, fault_collector& faults)
{
    std::set<std::string> seen;
    for (std::size_t i = 0; i < list.size(); ++i) {
        const auto path = element_path(list_name, i, "name");
        check_name(list[i].name, path, faults);
        if (!seen.insert(list[i].name).second) {
            faults.add(path, "\"" + list[i].name + "\" is used twice");
        }
    }
}

template <class List>
bool has_name(const List& list, const std::string& name)
{
    return std::any_of(list.begin(), list.end(), [&](const auto& it) { return it.name == name; });
}

void check_floors(const manifest& m, fault_collector& faults)
{
    double sum = 0;
    for (const auto& it : m.tiers) {
        sum += it.floor;
    }
    for (const auto& it : m.kinds) {
        sum += it.floor;
    }
    // Floors of tiers and kinds reserve slots of the same pool.
    if (sum >= 1) {
        faults.add("tiers, kinds",
                   "the floors sum to " + std::to_string(sum) + " but must stay below 1");
    }
}

bool is_key_hash(const std::string& text)
{
    return text.size() == 64 && text.find_first_not_of("0123456789abcdef") == text.npos;
}

void check_accounts(const manifest& m, fault_collector& faults)
{
    std::set<std::string> hashes;
    for (std::size_t i = 0; i < m.accounts.size(); ++i) {
        const auto tiers_path = element_path("accounts", i, "tiers");
        const auto hashes_path = element_path("accounts", i, "key_hashes");
        for (const auto& it : m.accounts[i].tiers) {
            if (!has_name(m.tiers, it)) {
                faults.add(tiers_path, "there is no tier \"" + it + "\"");
            }
        }
        for (const auto& it : m.accounts[i].key_hashes) {
            if (!is_key_hash(it)) {
                faults.add(hashes_path, "each hash must have 64 lower-case hexadecimal digits");
            }
            if (!hashes.insert(it).second) {
                faults.add(hashes_path, "a key belongs to one account only, once");
            }
        }
    }
}

void check_calls(const service_policy& service, std::size_t index, fault_collector& faults)
{
    const std::set<std::string> methods{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"};
    const auto path = element_path("services", index, "calls");
    for (const auto& it : service.calls) {
        if (methods.count(it.method) == 0) {
            faults.add(path, "\"" + it.method + "\" is not a method");
        }
        if (it.path.empty() || it.path.front() != '/') {
            faults.add(path, "the path \"" + it.path + "\" must begin with /");
        }
    }
}

void check_services(const manifest& m, fault_collector& faults)
{
    std::set<std::string> models;
    for (std::size_t i = 0; i < m.services.size(); ++i) {
        const auto& service = m.services[i];
        const auto models_path = element_path("services", i, "models");
        if (!has_name(m.tiers, service.default_tier)) {
            faults.add(element_path("services", i, "default_tier"),
                       "there is no tier \"" + service.default_tier + "\"");
        }
        if (!has_name(m.kinds, service.default_kind)) {
            faults.add(element_path("services", i, "default_kind"),
                       "there is no kind \"" + service.default_kind + "\"");
        }
        if ((service.type == service_type::model) == service.models.empty()) {
            faults.add(models_path, "a model service needs models, a plain service has none");
        }
        for (const auto& it : service.models) {
            check_name(it, models_path, faults);
            if (!models.insert(it).second) {
                faults.add(models_path, "the model \"" + it + "\" belongs to one service only");
            }
        }
        check_calls(service, i, faults);
    }
}

void check_placements(const manifest& m, fault_collector& faults)
{
    std::set<std::string> seen;
    for (std::size_t i = 0; i < m.placements.size(); ++i) {
        const auto& it = m.placements[i];
        const auto path = element_path("placements", i, "model");
        if (find_service_of_model(m, it.model) == nullptr) {
            faults.add(path, "no service has the model \"" + it.model + "\"");
        }
        if (!seen.insert(it.model).second) {
            faults.add(path, "\"" + it.model + "\" is used twice");
        }
        if (it.min_replicas > it.max_replicas) {
            faults.add(element_path("placements", i, "min_replicas"), "is above max_replicas");
        }
    }
}

} // namespace

void check_manifest(const manifest& m, fault_collector& faults)
{
    check_name(m.name, "name", faults);
    check_names(m.tiers, "tiers", faults);
    check_names(m.kinds, "kinds", faults);
    check_names(m.accounts, "accounts", faults);
    check_names(m.engine_classes, "engine_classes", faults);
    check_names(m.services, "services", faults);
    check_floors(m, faults);
    check_accounts(m, faults);
    check_services(m, faults);
    check_placements(m, faults);
}

} // namespace almondline::manifest_internal
