#include "distribution/internal/pointer_watch.h"

#include "common/log.h"

#include <algorithm>
#include <utility>

namespace almondline::distribution {

pointer_watch::pointer_watch(key_value_store& store, const clock_source& clock, watch_config config,
                             std::uint64_t seed, record_handler handler)
    : store_{store}, clock_{clock}, config_{std::move(config)}, random_{seed}, handler_{std::move(
                                                                                   handler)}
{
}

void pointer_watch::tick(bool is_active, steady_time now)
{
    if (!is_active || is_pending_ || now < next_try_) {
        return;
    }
    is_pending_ = true;
    ++calls_;
    // A watch doesn't report a missing record immediately, and can't start in another era.
    const bool is_watch = is_read_ && store_.era() == era_;
    const std::weak_ptr<int> alive = alive_;
    const auto handler = [this, alive, is_watch](const get_result& answer) {
        if (!alive.expired()) {
            on_answer(answer, is_watch);
        }
    };
    if (is_watch) {
        store_.watch(config_.key, revision_, config_.wait, handler);
    }
    else {
        store_.get(config_.key, handler);
    }
}

void pointer_watch::end_call()
{
    is_read_ = true;
    is_pending_ = false;
    backoff_ = std::chrono::milliseconds{0};
}

void pointer_watch::on_answer(const get_result& answer, bool is_watch)
{
    if (answer.status == get_status::failed) {
        back_off(answer.message);
        return;
    }
    const bool is_new_era = answer.era > era_;
    if (answer.era < era_ || (is_new_era && is_watch)) {
        end_call();
        return;
    }
    const bool is_news = is_new_era || answer.revision > revision_;
    if (answer.status != get_status::found || !is_news) {
        era_ = answer.era;
        revision_ = is_new_era ? 0 : revision_;
        end_call();
        if (answer.status == get_status::missing) {
            next_try_ = clock_.now() + config_.missing_interval;
        }
        return;
    }
    const std::weak_ptr<int> alive = alive_;
    handler_(answer, [this, alive, revision = answer.revision, era = answer.era](bool is_used) {
        if (alive.expired()) {
            return;
        }
        if (!is_used) {
            back_off("the record or its body could not be used");
            return;
        }
        revision_ = revision;
        era_ = era;
        end_call();
    });
}

void pointer_watch::back_off(const std::string& cause)
{
    is_pending_ = false;
    ++failures_;
    backoff_ = std::clamp(backoff_ * 2, config_.first_backoff, config_.max_backoff);
    // Waits for half to all of the back-off, so that the watchers don't retry simultaneously.
    const auto half = backoff_.count() / 2;
    const auto jitter = std::uniform_int_distribution<std::int64_t>{0, half}(random_);
    next_try_ = clock_.now() + std::chrono::milliseconds{half + jitter};
    log_event("distribution", log_level::warning, "store-watch-failed",
              {{"cause", cause}, {"backoff_ms", backoff_.count()}});
}

} // namespace almondline::distribution
