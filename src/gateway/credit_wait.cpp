#include "gateway/credit_wait.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <optional>

namespace almondline::gateway {

namespace asio = boost::asio;

namespace {

struct pending_decision {
    explicit pending_decision(const asio::any_io_executor& executor)
        : wake{executor, asio::steady_timer::time_point::max()}
    {
    }

    asio::steady_timer wake;
    std::optional<granting::credit_result> decision;
    bool is_abandoned = false;
};

void return_unused(granting::credit_client& credit_client, const std::string& request_id)
{
    granting::release_report unused;
    unused.outcome = granting::release_outcome::not_dispatched;
    credit_client.release(request_id, unused);
}

/// Cancels the request or returns the credit if the coroutine is destroyed before it received the
/// decision.
class wait_guard {
public:
    wait_guard(granting::credit_client& credit_client, std::string request_id,
               std::shared_ptr<pending_decision> state)
        : credit_client_{credit_client}, request_id_{std::move(request_id)}, state_{
                                                                                 std::move(state)}
    {
    }
    ~wait_guard()
    {
        if (is_delivered_) {
            return;
        }
        state_->is_abandoned = true;
        const bool is_granted = state_->decision && state_->decision->granted;
        if (is_granted) {
            return_unused(credit_client_, request_id_);
        }
        else if (!state_->decision) {
            credit_client_.cancel(request_id_);
        }
    }
    wait_guard(const wait_guard&) = delete;
    wait_guard& operator=(const wait_guard&) = delete;

    void set_delivered() { is_delivered_ = true; }

private:
    granting::credit_client& credit_client_;
    std::string request_id_;
    std::shared_ptr<pending_decision> state_;
    bool is_delivered_ = false;
};

} // namespace

asio::awaitable<granting::credit_result> wait_for_credit(granting::credit_client& credit_client,
                                                         std::string pool,
                                                         scheduling::credit_request request)
{
    const auto state = std::make_shared<pending_decision>(co_await asio::this_coro::executor);
    const auto request_id = request.request_id;
    const auto handler = [state, &credit_client,
                          request_id](const granting::credit_result& result) {
        if (!state->is_abandoned) {
            state->decision = result;
            state->wake.cancel();
        }
        else if (result.granted) {
            return_unused(credit_client, request_id);
        }
    };
    if (!credit_client.request_credit(pool, std::move(request), handler)) {
        granting::credit_result refused;
        refused.reason = {verdict::not_run, "duplicate-request",
                          "a request of this id is in progress", std::chrono::milliseconds{500}};
        co_return refused;
    }
    wait_guard guard{credit_client, request_id, state};
    while (!state->decision) {
        co_await state->wake.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    guard.set_delivered();
    co_return std::move(*state->decision);
}

} // namespace almondline::gateway
