#include "scheduling/types/queue_config.h"

#include <algorithm>

namespace almondline::scheduling {

queue_config make_queue_config(const manifest& m, const service_policy& service)
{
    queue_config config;
    config.tiers = m.tiers;
    for (const kind_policy& kind : m.kinds) {
        config.kinds.emplace(kind.name, kind);
    }
    for (const account_policy& account : m.accounts) {
        config.accounts.emplace(account.name, account);
    }
    config.max_waiting = static_cast<std::size_t>(std::max(0, service.max_waiting));
    return config;
}

} // namespace almondline::scheduling
