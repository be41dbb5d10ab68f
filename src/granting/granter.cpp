#include "granting/granter.h"

#include "granting/internal/granter_core.h"

namespace almondline::granting {

granter::granter(granter_settings settings, scheduling::queue_config config,
                 const clock_source& clock, peer_sender& sender, decision_log& decisions,
                 failure_domain_lookup lookup, scheduling::allowance_table* allowances,
                 quarantine_table* quarantine)
    : core_{std::make_unique<granter_core>(std::move(settings), std::move(config), clock, sender,
                                           decisions, std::move(lookup), allowances, quarantine)}
{
}

granter::~granter() = default;

void granter::handle(const std::string& from, const wire::envelope& message)
{
    const auto now = core_->clock.now();
    const auto& set = message.__isset;
    const auto& own = core_->settings.pool;
    if (set.ask && message.ask.pool == own) {
        core_->handle_credit_request(from, message.ask, now);
    }
    else if (set.confirmation && message.confirmation.pool == own) {
        core_->handle_confirmation(from, message.confirmation, now);
    }
    else if (set.release && message.release.pool == own) {
        core_->handle_release(from, message.release, now);
    }
    else if (set.cancel && message.cancel.pool == own) {
        core_->handle_cancel(from, message.cancel, now);
    }
    else if (set.holdings && message.holdings.pool == own) {
        core_->handle_holdings(from, message.holdings, now);
    }
    else if (set.server_report && message.server_report.pool == own) {
        core_->handle_server_report(from, message.server_report, now);
    }
    else if (set.start && message.start.pool == own) {
        core_->handle_start(from, message.start, now);
    }
    else {
        return;
    }
    core_->note_received(from, now);
    core_->grant_waiting(now);
    core_->flush();
}

void granter::tick(steady_time now)
{
    core_->expire_credits(now);
    core_->expire_credit_requests(now);
    core_->check_backends(now);
    core_->check_models(now);
    core_->check_holders(now);
    core_->grant_waiting(now);
    core_->flush();
}

void granter::reconfigure(scheduling::queue_config config)
{
    const auto now = core_->clock.now();
    core_->refuse_all(scheduling::reconfigure(core_->queue, std::move(config), now));
    core_->grant_waiting(now);
    core_->flush();
}

void granter::remove_holder(const std::string& instance_id)
{
    const auto now = core_->clock.now();
    core_->remove_holder(instance_id, now);
    core_->grant_waiting(now);
    core_->flush();
}

void granter::set_draining(const std::set<std::string>& replica_ids)
{
    const auto now = core_->clock.now();
    routing::set_draining(core_->table, replica_ids, now);
    core_->grant_waiting(now);
    core_->flush();
}

std::vector<model_work> granter::work_by_model() const
{
    return core_->work_by_model();
}

int granter::unfinished_requests(const routing::replica& replica) const
{
    return routing::unfinished_requests(replica, core_->settings.drain_settle, core_->clock.now());
}

routing::replica_table& granter::replicas()
{
    return core_->table;
}

const scheduling::queue_state& granter::queue() const
{
    return core_->queue;
}

std::size_t granter::credit_count() const
{
    return core_->credits.size();
}

const granter_counters& granter::counters() const
{
    return core_->counters;
}

const std::string& granter::pool() const
{
    return core_->settings.pool;
}

} // namespace almondline::granting
