#include "entry/control_plane.h"

#include "entry/internal/control_state.h"

#include <boost/asio/post.hpp>

namespace almondline::entry {

namespace asio = boost::asio;
using std::chrono::milliseconds;

control_plane::control_plane(asio::io_context& io, const entry_settings& settings,
                             const clock_source& clock, metrics_registry& metrics)
    : state_{std::make_shared<control_state>(io, settings, clock, metrics)}
{
}

control_plane::~control_plane()
{
    state_->is_stopped = true;
}

void control_plane::start()
{
    asio::post(state_->io, [state = state_] { state->start(); });
}

void control_plane::start_drain()
{
    asio::post(state_->io, [state = state_] { state->node.start_drain(); });
}

void control_plane::request(const std::string& pool, scheduling::credit_request new_request,
                            granting::credit_handler handler)
{
    asio::post(state_->io, [state = state_, pool, new_request = std::move(new_request),
                            handler = std::move(handler)]() mutable {
        const auto id = new_request.request_id;
        state->node.credit_client.request_credit(
            pool, std::move(new_request),
            [state, id, handler](const granting::credit_result& result) {
                if (!result.granted || state->node.credit_client.confirm(id)) {
                    handler(result);
                    return;
                }
                granting::release_report expired;
                expired.outcome = granting::release_outcome::not_dispatched;
                state->node.credit_client.release(id, expired);
                granting::credit_result refused;
                refused.reason = {verdict::not_run, "credit-expired",
                                  "the dispatch credit expired on its way", milliseconds{200}};
                handler(refused);
            });
    });
}

void control_plane::release(const granting::credit& credit, const granting::release_report& report)
{
    asio::post(state_->io, [state = state_, id = credit.request_id, report] {
        state->node.credit_client.release(id, report);
    });
}

void control_plane::cancel(const std::string& pool, const std::string& request_id)
{
    asio::post(state_->io, [state = state_, pool, request_id] {
        state->node.credit_client.cancel(request_id);
    });
}

std::shared_ptr<const manifest_snapshot> control_plane::snapshot() const
{
    const std::lock_guard lock{state_->mutex};
    return state_->current;
}

void control_plane::record(const std::string& request_id, const std::string& line)
{
    asio::post(state_->io, [state = state_, request_id, line] {
        state->node.decisions.keep(request_id, line);
    });
}

std::vector<advertised_address> control_plane::addresses() const
{
    const std::lock_guard lock{state_->mutex};
    return state_->addresses;
}

void control_plane::admit(const idempotency::keyed_request& request, admission_handler handler)
{
    asio::post(state_->io, [state = state_, request, handler = std::move(handler)]() mutable {
        state->guard.admit(request, std::move(handler), state->clock.now());
    });
}

void control_plane::finish(const idempotency::keyed_request& request,
                           const idempotency::outcome& result)
{
    asio::post(state_->io, [state = state_, request, result] {
        // abandon() handles every verdict except not_run like finish().
        state->guard.abandon(request, result, state->clock.now());
    });
}

std::string control_plane::mint() const
{
    return state_->guard.mint(state_->clock.now());
}

std::chrono::milliseconds control_plane::key_lifetime() const
{
    return state_->guard.key_lifetime();
}

void control_plane::status(deliver done)
{
    asio::post(state_->io,
               [state = state_, done = std::move(done)] { done(state->report_status()); });
}

void control_plane::explain(std::string request_id, deliver done)
{
    asio::post(state_->io, [state = state_, request_id = std::move(request_id),
                            done = std::move(done)]() mutable {
        std::vector<std::string> peers;
        for (const auto& it : state->node.members.all_members()) {
            if (it.status == membership::member_status::alive && it.incarnation != 0) {
                peers.push_back(it.id);
            }
        }
        state->decision_queries.start(request_id, peers, state->clock.now(), std::move(done));
    });
}

} // namespace almondline::entry
