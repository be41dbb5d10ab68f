#include "gateway/internal/credit_acquisition.h"

#include "gateway/credit_wait.h"
#include "gateway/internal/credit_request.h"
#include "gateway/internal/request_end.h"
#include "gateway/internal/request_entry.h"
#include "gateway/internal/request_service.h"
#include "gateway/internal/request_times.h"
#include "granting/quarantine.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>
#include <vector>

namespace almondline::gateway {

namespace asio = boost::asio;

asio::awaitable<granting::credit_result> request_credit(request_flow& flow, std::string credit_id)
{
    auto& context = flow.context;
    auto& request = flow.request;
    const request_entry listed{context.waiting, flow};
    update_end(flow);
    granting::credit_result decision;
    std::vector<granting::pool_refusal> refused_by;
    while (true) {
        auto wanted = make_credit_request(flow, credit_id);
        const auto pool = context.choose_pool(request.service, wanted, refused_by);
        if (pool.empty()) {
            co_return decision;
        }
        if (const auto hold = context.quarantine_wait(request.service, request.fingerprints)) {
            granting::credit_result refused;
            refused.reason = granting::make_refusal(*hold);
            co_return refused;
        }
        flow.credits.awaited = credit_id;
        decision = co_await wait_for_credit(context.credits, pool, std::move(wanted));
        const bool is_ownerless =
            !decision.granted && decision.reason.code == granting::code_no_granter;
        if (is_ownerless && !follow_manifest(request, context.routes(), context.random)) {
            decision.reason = {verdict::not_run, "route-removed", "the route was removed",
                               context.limits.default_retry_after};
            co_return decision;
        }
        if (is_ownerless &&
            time_left(request, context.clock.now()) > context.limits.owner_retry_delay) {
            asio::steady_timer pause{co_await asio::this_coro::executor,
                                     context.limits.owner_retry_delay};
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        if (decision.granted) {
            co_return decision;
        }
        refused_by.push_back({pool, decision.reason.code});
    }
}

bool confirm_credit(gateway_context& context, request_credits& credits,
                    const granting::credit& granted)
{
    const auto& id = granted.backend_id;
    if (!may_dispatch(context.replicas, id, context.clock.now())) {
        credits.excluded.push_back(id);
        return false;
    }
    return context.credits.confirm(granted.request_id);
}

void return_unused(gateway_context& context, const granting::credit& granted)
{
    granting::release_report unused;
    unused.outcome = granting::release_outcome::not_dispatched;
    context.credits.release(granted.request_id, unused);
}

} // namespace almondline::gateway
