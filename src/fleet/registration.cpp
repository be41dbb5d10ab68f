#include "fleet/registration.h"

#include "common/hash.h"
#include "common/log.h"

#include <algorithm>

namespace almondline::fleet {

registration::registration(registration_settings settings, key_value_store& store,
                           const clock_source& clock)
    : settings_{std::move(settings)}, store_{store}, clock_{clock}
{
}

void registration::tick(steady_time now)
{
    if (is_calling_ || is_withdrawn_) {
        return;
    }
    if (!lease_id_.empty() && store_.era() != lease_era_) {
        restart_after_restore(now);
    }
    if (now < next_call_) {
        return;
    }
    is_calling_ = true;
    if (lease_id_.empty()) {
        request_lease();
    }
    else if (!is_written_) {
        write();
    }
    else {
        renew();
    }
}

/// The lease may be gone, or its id may belong to another instance now. The instances write their
/// records again one after the other, so that the store's rates suffice for large fleets.
void registration::restart_after_restore(steady_time now)
{
    lease_id_.clear();
    is_written_ = false;
    const auto spread = settings_.restore_interval * std::max<std::size_t>(1, fleet_size_);
    const auto share = stable_hash(settings_.key) % static_cast<std::uint64_t>(spread.count());
    next_call_ = now + std::chrono::milliseconds{share};
    log_event("fleet", log_level::info, "registration-restarted",
              {{"key", settings_.key}, {"previous_era", lease_era_}, {"era", store_.era()}});
}

void registration::request_lease()
{
    const std::weak_ptr<int> alive = alive_;
    store_.grant_lease(settings_.lifetime, [this, alive](const lease_result& result) {
        if (alive.expired()) {
            return;
        }
        is_calling_ = false;
        if (!result.is_granted) {
            on_failure("lease", result.message);
            return;
        }
        lease_id_ = result.lease_id;
        lease_era_ = result.era;
    });
}

void registration::write()
{
    const std::weak_ptr<int> alive = alive_;
    const auto handler = [this, alive](const put_result& result) {
        if (!alive.expired()) {
            on_written(result);
        }
    };
    store_.compare_and_swap(settings_.key, record_revision_, settings_.value, lease_id_, handler);
}

/// Only this process writes the key. After a conflict the record may still belong to an earlier
/// lease, so it is written again with the current one.
void registration::on_written(const put_result& result)
{
    is_calling_ = false;
    if (result.status == put_status::conflict && result.revision != record_revision_) {
        record_revision_ = result.revision;
        return;
    }
    if (result.status != put_status::done) {
        lease_id_.clear();
        on_failure("write", result.message);
        return;
    }
    record_revision_ = 0;
    is_written_ = true;
    has_failed_ = false;
    next_call_ = clock_.now() + settings_.renew_interval;
    log_event("fleet", log_level::info, "registered", {{"key", settings_.key}});
}

void registration::renew()
{
    const std::weak_ptr<int> alive = alive_;
    store_.renew_lease(lease_id_, [this, alive](const lease_result& result) {
        if (alive.expired()) {
            return;
        }
        is_calling_ = false;
        if (result.is_granted) {
            has_failed_ = false;
            next_call_ = clock_.now() + settings_.renew_interval;
            return;
        }
        if (result.is_lost) {
            lease_id_.clear();
            is_written_ = false;
        }
        on_failure("renewal", result.message);
    });
}

void registration::on_failure(const std::string& step, const std::string& cause)
{
    next_call_ = clock_.now() + settings_.retry_interval;
    if (!has_failed_) {
        log_event("fleet", log_level::warning, "registration-failed",
                  {{"step", step}, {"cause", cause}});
    }
    has_failed_ = true;
}

void registration::withdraw()
{
    is_withdrawn_ = true;
    if (!lease_id_.empty() && store_.era() == lease_era_) {
        store_.revoke_lease(lease_id_, [](const lease_result&) {});
    }
}

} // namespace almondline::fleet
