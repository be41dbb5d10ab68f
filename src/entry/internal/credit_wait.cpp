#include "entry/internal/credit_wait.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/experimental/channel.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>

namespace almondline::entry {

namespace asio = boost::asio;
using namespace asio::experimental::awaitable_operators;

namespace {

using decision_channel =
    asio::experimental::channel<void(boost::system::error_code, granting::credit_result)>;

/// Must be used on the connection's strand only.
struct waiting_state {
    explicit waiting_state(const asio::any_io_executor& executor) : channel{executor, 1} {}

    decision_channel channel;
    bool is_abandoned = false;
};

void deliver(waiting_state& state, credit_source& credits, granting::credit_result decision)
{
    if (!state.is_abandoned) {
        state.channel.try_send(boost::system::error_code{}, std::move(decision));
        return;
    }
    if (decision.granted) {
        granting::release_report unused;
        unused.outcome = granting::release_outcome::not_dispatched;
        credits.release(*decision.granted, unused);
    }
}

} // namespace

asio::awaitable<std::optional<granting::credit_result>>
wait_for_credit(credit_source& credits, std::string pool, scheduling::credit_request new_request,
                http_exchange& exchange)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto state = std::make_shared<waiting_state>(executor);
    const auto request_id = new_request.request_id;
    credits.request(pool, std::move(new_request),
                    [state, executor, &credits](granting::credit_result decision) {
                        asio::post(executor,
                                   [state, &credits, decision = std::move(decision)]() mutable {
                                       deliver(*state, credits, std::move(decision));
                                   });
                    });
    auto first_done =
        co_await (state->channel.async_receive(asio::use_awaitable) || exchange.wait_closed());
    if (first_done.index() == 0) {
        co_return std::get<0>(std::move(first_done));
    }
    state->is_abandoned = true;
    credits.cancel(pool, request_id);
    // A decision may already be in the channel.
    state->channel.try_receive([&](boost::system::error_code, granting::credit_result decision) {
        deliver(*state, credits, std::move(decision));
    });
    co_return std::nullopt;
}

} // namespace almondline::entry
