#include "manifest/internal/check.h"

#include <algorithm>
#include <set>

namespace almondline::manifest_internal {

namespace {

// Restricted because names appear in headers, paths, log lines and store keys.
constexpr std::string_view name_characters = "abcdefghijklmnopqrstuvwxyz"
                                             "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-/:";
constexpr std::size_t max_name_size = 64;

std::string element_path(const char* list, std::size_t index, const char* member)
{
    return std::string{list} + "[" + std::to_string(index) + "]." + member;
}

void check_name(const std::string& name, const std::string& path, error_collector& errors)
{
    if (name.empty() || name.size() > max_name_size) {
        errors.add(path, "must have 1 to 64 characters");
    }
    if (name.find_first_not_of(name_characters) != name.npos) {
        errors.add(path, "\"" + name + "\" may contain only letters, digits and . _ - / :");
    }
}

template <class List>
void check_names(const List& list, const char* list_name, error_collector& errors)
{
    std::set<std::string> seen;
    for (std::size_t i = 0; i < list.size(); ++i) {
        const auto path = element_path(list_name, i, "name");
        check_name(list[i].name, path, errors);
        if (!seen.insert(list[i].name).second) {
            errors.add(path, "\"" + list[i].name + "\" is used twice");
        }
    }
}

template <class List>
bool has_name(const List& list, const std::string& name)
{
    return std::any_of(list.begin(), list.end(), [&](const auto& it) { return it.name == name; });
}

void check_floors(const manifest& m, error_collector& errors)
{
    double sum = 0;
    for (const auto& it : m.tiers) {
        sum += it.floor;
    }
    for (const auto& it : m.kinds) {
        sum += it.floor;
    }
    // The floors of tiers and kinds reserve shares of the same dispatch slots.
    if (sum >= 1) {
        errors.add("tiers, kinds",
                   "the floors sum to " + std::to_string(sum) + " but must sum to less than 1");
    }
}

bool is_key_hash(const std::string& text)
{
    return text.size() == 64 && text.find_first_not_of("0123456789abcdef") == text.npos;
}

void check_accounts(const manifest& m, error_collector& errors)
{
    std::set<std::string> hashes;
    for (std::size_t i = 0; i < m.accounts.size(); ++i) {
        const auto tiers_path = element_path("accounts", i, "tiers");
        const auto hashes_path = element_path("accounts", i, "key_hashes");
        for (const auto& it : m.accounts[i].tiers) {
            if (!has_name(m.tiers, it)) {
                errors.add(tiers_path, "there is no tier \"" + it + "\"");
            }
        }
        for (const auto& it : m.accounts[i].key_hashes) {
            if (!is_key_hash(it)) {
                errors.add(hashes_path, "each hash must have 64 lower-case hexadecimal digits");
            }
            if (!hashes.insert(it).second) {
                errors.add(hashes_path,
                           "each key hash may be listed only once across all accounts");
            }
        }
    }
}

void check_calls(const service_policy& service, std::size_t index, error_collector& errors)
{
    const std::set<std::string> methods{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"};
    const auto path = element_path("services", index, "calls");
    for (const auto& it : service.calls) {
        if (methods.count(it.method) == 0) {
            errors.add(path, "\"" + it.method + "\" is not a supported HTTP method");
        }
        if (it.path.empty() || it.path.front() != '/') {
            errors.add(path, "the path \"" + it.path + "\" must begin with /");
        }
    }
}

void check_services(const manifest& m, error_collector& errors)
{
    std::set<std::string> models;
    for (std::size_t i = 0; i < m.services.size(); ++i) {
        const auto& service = m.services[i];
        const auto models_path = element_path("services", i, "models");
        if (!has_name(m.tiers, service.default_tier)) {
            errors.add(element_path("services", i, "default_tier"),
                       "there is no tier \"" + service.default_tier + "\"");
        }
        if (!has_name(m.kinds, service.default_kind)) {
            errors.add(element_path("services", i, "default_kind"),
                       "there is no kind \"" + service.default_kind + "\"");
        }
        if ((service.type == service_type::model) == service.models.empty()) {
            errors.add(models_path, "a model service must list models, a plain service must not");
        }
        for (const auto& it : service.models) {
            check_name(it, models_path, errors);
            if (!models.insert(it).second) {
                errors.add(models_path,
                           "the model \"" + it + "\" may be listed only once across all services");
            }
        }
        check_calls(service, i, errors);
    }
}

void check_placements(const manifest& m, error_collector& errors)
{
    std::set<std::string> seen;
    for (std::size_t i = 0; i < m.placements.size(); ++i) {
        const auto& it = m.placements[i];
        const auto path = element_path("placements", i, "model");
        if (find_service_of_model(m, it.model) == nullptr) {
            errors.add(path, "no service has the model \"" + it.model + "\"");
        }
        if (!seen.insert(it.model).second) {
            errors.add(path, "\"" + it.model + "\" is used twice");
        }
        if (it.min_replicas > it.max_replicas) {
            errors.add(element_path("placements", i, "min_replicas"), "is above max_replicas");
        }
    }
}

} // namespace

void check_manifest(const manifest& m, error_collector& errors)
{
    check_name(m.name, "name", errors);
    check_names(m.tiers, "tiers", errors);
    check_names(m.kinds, "kinds", errors);
    check_names(m.accounts, "accounts", errors);
    check_names(m.engine_classes, "engine_classes", errors);
    check_names(m.services, "services", errors);
    check_floors(m, errors);
    check_accounts(m, errors);
    check_services(m, errors);
    check_placements(m, errors);
}

} // namespace almondline::manifest_internal
