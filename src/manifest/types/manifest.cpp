#include "manifest/types/manifest.h"

#include <algorithm>

namespace almondline {

namespace {

template <class List>
const typename List::value_type* find_by_name(const List& list, const std::string& name)
{
    const auto it =
        std::find_if(list.begin(), list.end(), [&](const auto& x) { return x.name == name; });
    return it == list.end() ? nullptr : &*it;
}

} // namespace

const account_policy* find_account(const manifest& m, const std::string& name)
{
    return find_by_name(m.accounts, name);
}

const service_policy* find_service(const manifest& m, const std::string& name)
{
    return find_by_name(m.services, name);
}

const service_policy* find_service_of_model(const manifest& m, const std::string& model)
{
    const auto it = std::find_if(m.services.begin(), m.services.end(), [&](const auto& service) {
        return std::find(service.models.begin(), service.models.end(), model) !=
               service.models.end();
    });
    return it == m.services.end() ? nullptr : &*it;
}

const engine_class_policy* find_engine_class(const manifest& m, const std::string& name)
{
    return find_by_name(m.engine_classes, name);
}

int find_tier(const manifest& m, const std::string& name)
{
    const auto* tier = find_by_name(m.tiers, name);
    return tier == nullptr ? -1 : static_cast<int>(tier - m.tiers.data());
}

} // namespace almondline
