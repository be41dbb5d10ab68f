#include "placement/lease_keeper.h"

#include "common/hash.h"
#include "common/log.h"

namespace almondline::placement {

namespace {

/// Bits of a fencing token that hold the revision. The era above them keeps tokens increasing when
/// a restored store gives revisions out again.
constexpr int revision_bits = 40;

std::uint64_t make_fencing(std::uint64_t era, std::uint64_t revision)
{
    return (era << revision_bits) | revision;
}

} // namespace

struct lease_keeper::state : std::enable_shared_from_this<state> {
    state(key_value_store& kv, const clock_source& time, std::string record_key,
          std::string instance, lease_settings lease)
        : store{kv}, clock{time}, key{std::move(record_key)},
          instance_id{std::move(instance)}, settings{lease}
    {
    }

    void tick(steady_time now);
    void read_record();
    void note_record(const get_result& r);
    void request_lease(steady_time now);
    void write_record(steady_time granted_at);
    void note_write(const put_result& r, steady_time granted_at);
    void read_back(steady_time granted_at);
    void hold(std::uint64_t revision, steady_time granted_at);
    void renew(steady_time now);
    void note_renewal(const lease_result& r, steady_time sent);
    void release(const std::string& reason);
    void forget_lease(const std::string& reason);
    void delay_next_call(std::chrono::milliseconds delay) { next_call = clock.now() + delay; }

    /// Wraps a handler of a store call. Answers to calls made before a release are ignored.
    template <class Result, class Function>
    std::function<void(const Result&)> handler(Function function)
    {
        is_call_pending = true;
        return [self = shared_from_this(), at = generation, function](const Result& r) {
            if (self->is_closed || self->generation != at) {
                return;
            }
            self->is_call_pending = false;
            function(r);
        };
    }

    key_value_store& store;
    const clock_source& clock;
    std::string key;
    std::string instance_id;
    lease_settings settings;
    bool is_closed = false;
    bool is_candidate = true;
    bool is_call_pending = false;
    std::uint64_t generation = 0;
    steady_time next_call{};
    std::string lease_id;
    std::uint64_t lease_era = 0; ///< of the store when it granted the lease
    std::string claim;           ///< value of the record, unique for each acquisition
    std::uint64_t fencing = 0;
    std::string seen_holder;
    std::uint64_t seen_fencing = 0;
    steady_time valid_until{};
    steady_time orders_allowed_from{};
};

void lease_keeper::state::tick(steady_time now)
{
    if (!lease_id.empty() && store.era() != lease_era) {
        // The id may belong to another client now.
        forget_lease("the store returned from an older copy");
        next_call = now;
    }
    if (!is_candidate || is_call_pending || now < next_call) {
        return;
    }
    if (fencing != 0 && now >= valid_until + settings.lifetime) {
        release("the lease could not be renewed for two lifetimes");
    }
    if (fencing != 0) {
        renew(now);
        return;
    }
    read_record();
}

void lease_keeper::state::read_record()
{
    store.get(key, handler<get_result>([this](const get_result& r) { note_record(r); }));
}

void lease_keeper::state::note_record(const get_result& r)
{
    const bool is_found = r.status == get_status::found;
    seen_holder = is_found ? r.value.substr(0, r.value.find(' ')) : std::string{};
    seen_fencing = is_found ? make_fencing(r.era, r.revision) : 0;
    if (r.status == get_status::missing) {
        request_lease(clock.now());
        return;
    }
    delay_next_call(r.status == get_status::found ? settings.poll_interval
                                                  : settings.retry_interval);
}

void lease_keeper::state::request_lease(steady_time now)
{
    store.grant_lease(settings.lifetime, handler<lease_result>([this, now](const lease_result& r) {
                          if (!r.is_granted) {
                              // If the answer was lost, the lease has no record and expires
                              // by itself.
                              delay_next_call(settings.retry_interval);
                              return;
                          }
                          lease_id = r.lease_id;
                          lease_era = r.era;
                          claim = instance_id + " " + random_id();
                          write_record(now);
                      }));
}

void lease_keeper::state::write_record(steady_time granted_at)
{
    store.compare_and_swap(key, 0, claim, lease_id,
                           handler<put_result>([this, granted_at](const put_result& r) {
                               note_write(r, granted_at);
                           }));
}

void lease_keeper::state::note_write(const put_result& r, steady_time granted_at)
{
    if (r.status == put_status::done) {
        hold(r.revision, granted_at);
        return;
    }
    if (r.status == put_status::unknown) {
        read_back(granted_at);
        return;
    }
    release("the lease record could not be written");
    delay_next_call(r.status == put_status::conflict ? settings.poll_interval
                                                     : settings.retry_interval);
}

void lease_keeper::state::read_back(steady_time granted_at)
{
    store.get(key, handler<get_result>([this, granted_at](const get_result& r) {
                  if (r.status == get_status::found && r.value == claim) {
                      hold(r.revision, granted_at);
                      return;
                  }
                  // Revoking the lease also removes a record whose write arrives late.
                  release("the answer to the write of the lease record was lost");
                  delay_next_call(settings.retry_interval);
              }));
}

void lease_keeper::state::hold(std::uint64_t revision, steady_time granted_at)
{
    const auto now = clock.now();
    fencing = make_fencing(lease_era, revision);
    valid_until = granted_at + settings.lifetime;
    orders_allowed_from = now + settings.lifetime + settings.order_margin;
    next_call = granted_at + settings.renew_interval;
    log_event("placement", log_level::info, "lease-acquired",
              {{"fencing", fencing}, {"lease", lease_id}});
}

void lease_keeper::state::renew(steady_time now)
{
    store.renew_lease(lease_id, handler<lease_result>(
                                    [this, now](const lease_result& r) { note_renewal(r, now); }));
}

void lease_keeper::state::note_renewal(const lease_result& r, steady_time sent)
{
    if (r.is_lost) {
        release("the lease expired in the store");
        delay_next_call(settings.retry_interval);
        return;
    }
    if (!r.is_granted) {
        delay_next_call(settings.retry_interval);
        return;
    }
    // A renewal also proves that the record was held without interruption, so no new wait is needed
    // even if the lease had expired by the local clock.
    valid_until = sent + settings.lifetime;
    next_call = sent + settings.renew_interval;
}

void lease_keeper::state::release(const std::string& reason)
{
    const auto ended = lease_id;
    const bool is_own = store.era() == lease_era;
    forget_lease(reason);
    if (!ended.empty() && is_own) {
        store.revoke_lease(ended, [](const lease_result&) {});
    }
}

void lease_keeper::state::forget_lease(const std::string& reason)
{
    ++generation;
    is_call_pending = false;
    if (fencing != 0) {
        log_event("placement", log_level::warning, "lease-given-up",
                  {{"fencing", fencing}, {"reason", reason}});
    }
    fencing = 0;
    lease_id.clear();
}

lease_keeper::lease_keeper(key_value_store& store, const clock_source& clock, std::string key,
                           std::string instance_id, lease_settings settings)
    : state_{
          std::make_shared<state>(store, clock, std::move(key), std::move(instance_id), settings)}
{
}

lease_keeper::~lease_keeper()
{
    state_->is_closed = true;
}

void lease_keeper::tick(steady_time now)
{
    state_->tick(now);
}

void lease_keeper::set_candidate(bool is_candidate)
{
    if (state_->is_candidate && !is_candidate) {
        state_->release("this instance is no longer a candidate");
    }
    state_->is_candidate = is_candidate;
}

void lease_keeper::step_down(const std::string& reason)
{
    state_->release(reason);
    state_->delay_next_call(state_->settings.poll_interval);
}

bool lease_keeper::is_held() const
{
    return state_->fencing != 0;
}

bool lease_keeper::may_send_orders(steady_time now) const
{
    return is_held() && now >= state_->orders_allowed_from &&
           now + state_->settings.order_margin < state_->valid_until;
}

std::string lease_keeper::seen_holder() const
{
    return state_->seen_holder;
}

std::uint64_t lease_keeper::seen_fencing() const
{
    return state_->seen_fencing;
}

std::uint64_t lease_keeper::fencing() const
{
    return state_->fencing;
}

} // namespace almondline::placement
