#include "fleet/registration.h"

#include "common/log.h"

namespace almondline::fleet {

registration::registration(registration_settings settings, key_value_store& store,
                           const clock_source& clock)
    : settings_{std::move(settings)}, store_{store}, clock_{clock}
{
}

void registration::tick(steady_time now)
{
    if (is_calling_ || is_withdrawn_ || now < next_call_) {
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
    });
}

void registration::write()
{
    const std::weak_ptr<int> alive = alive_;
    // Only this process writes the key, so a conflict means that an earlier write succeeded and its
    // response was lost.
    const auto handler = [this, alive](const put_result& result) {
        if (alive.expired()) {
            return;
        }
        is_calling_ = false;
        if (result.status != put_status::done && result.status != put_status::conflict) {
            lease_id_.clear();
            on_failure("write", result.message);
            return;
        }
        is_written_ = true;
        has_failed_ = false;
        next_call_ = clock_.now() + settings_.renew_interval;
        log_event("fleet", log_level::info, "registered", {{"key", settings_.key}});
    };
    store_.compare_and_swap(settings_.key, 0, settings_.value, lease_id_, handler);
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
    if (!lease_id_.empty()) {
        store_.revoke_lease(lease_id_, [](const lease_result&) {});
    }
}

} // namespace almondline::fleet
