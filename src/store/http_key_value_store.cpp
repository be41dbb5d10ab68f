#include "store/http_key_value_store.h"

#include "store/internal/platform_call.h"
#include "store/internal/rate_limiter.h"
#include "store/internal/store_answers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace almondline {

namespace asio = boost::asio;
using namespace store_internal;

namespace {

constexpr const char* throttled_message = "a limit of this client holds the call back";

std::string key_target(const std::string& key)
{
    return "/v1/kv/" + percent_encode(key);
}

} // namespace

struct http_key_value_store::state : std::enable_shared_from_this<state> {
    using answer_handler = std::function<void(const http_result&)>;

    state(asio::any_io_executor control, std::vector<ip_endpoint> addresses,
          store_limits store_limit, const clock_source& source)
        : executor{std::move(control)}, ring{std::move(addresses)}, limits{store_limit},
          clock{source}, rate{limits.calls_per_second, limits.burst, source.now()}
    {
    }

    bool admit()
    {
        if (in_flight < limits.max_in_flight && rate.try_consume(clock.now())) {
            return true;
        }
        ++counts.throttled;
        return false;
    }

    bool admit_watch()
    {
        if (watches < limits.max_watches && rate.try_consume(clock.now())) {
            return true;
        }
        ++counts.throttled;
        return false;
    }

    /// Posts the function to the executor. It does not run if the store is destroyed before.
    template <class Function>
    void post(Function function)
    {
        asio::post(executor, [self = shared_from_this(), function = std::move(function)] {
            if (!self->is_closed) {
                function();
            }
        });
    }

    void start_read(http_request request, http_timeouts timeouts, std::size_t& running,
                    std::uint64_t& counter, answer_handler handler)
    {
        ++running;
        post([this, request = std::move(request), timeouts, &running, &counter,
              handler = std::move(handler)] {
            asio::co_spawn(executor, run_read(request, timeouts, running, counter, handler),
                           asio::detached);
        });
    }

    void start_write(http_request request, std::uint64_t& counter, answer_handler handler)
    {
        ++in_flight;
        ++counter;
        post([this, request = std::move(request), handler = std::move(handler)] {
            asio::co_spawn(executor, run_write(request, handler), asio::detached);
        });
    }

    asio::awaitable<void> run_read(http_request request, http_timeouts timeouts,
                                   std::size_t& running, std::uint64_t& counter,
                                   answer_handler handler)
    {
        const auto self = shared_from_this();
        const std::function<void()> count = [&counter] { ++counter; };
        const auto result = co_await call_read(ring, request, timeouts, count);
        --running;
        finish(result, handler);
    }

    asio::awaitable<void> run_write(http_request request, answer_handler handler)
    {
        const auto self = shared_from_this();
        const auto result = co_await call_write(ring, request, limits.timeouts);
        --in_flight;
        finish(result, handler);
    }

    void finish(const http_result& result, const answer_handler& handler)
    {
        if (result.progress != http_progress::complete || result.response.status >= 500) {
            ++counts.failed;
        }
        if (!is_closed) {
            handler(result);
        }
    }

    asio::any_io_executor executor;
    address_ring ring;
    store_limits limits;
    const clock_source& clock;
    rate_limiter rate;
    store_call_counts counts;
    std::size_t in_flight = 0;
    std::size_t watches = 0;
    bool is_closed = false;
};

http_key_value_store::http_key_value_store(asio::any_io_executor executor,
                                           std::vector<ip_endpoint> addresses, store_limits limits,
                                           const clock_source& clock)
    : state_{std::make_shared<state>(std::move(executor), std::move(addresses), limits, clock)}
{
}

http_key_value_store::~http_key_value_store()
{
    state_->is_closed = true;
}

void http_key_value_store::get(const std::string& key, get_handler handler)
{
    if (!state_->admit()) {
        state_->post([handler = std::move(handler)] {
            handler({get_status::failed, {}, 0, throttled_message});
        });
        return;
    }
    http_request request;
    request.target = key_target(key);
    state_->start_read(
        std::move(request), state_->limits.timeouts, state_->in_flight, state_->counts.gets,
        [handler = std::move(handler)](const http_result& it) { handler(to_get_result(it)); });
}

void http_key_value_store::watch(const std::string& key, std::uint64_t after_revision,
                                 std::chrono::milliseconds wait, get_handler handler)
{
    if (!state_->admit_watch()) {
        state_->post([handler = std::move(handler)] {
            handler({get_status::failed, {}, 0, throttled_message});
        });
        return;
    }
    // The service accepts only whole seconds. Rounding up keeps a short wait from becoming polling.
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait);
    http_request request;
    request.target = key_target(key) + "?after=" + std::to_string(after_revision) +
                     "&wait=" + std::to_string(seconds.count());
    http_timeouts timeouts = state_->limits.timeouts;
    timeouts.read += seconds;
    const auto done = [handler = std::move(handler), after_revision](const http_result& it) {
        auto result = to_get_result(it);
        if (result.status == get_status::found && result.revision <= after_revision) {
            result.status = get_status::unchanged;
        }
        if (result.status == get_status::missing && after_revision == 0) {
            result.status = get_status::unchanged;
        }
        handler(result);
    };
    state_->start_read(std::move(request), timeouts, state_->watches, state_->counts.watches, done);
}

void http_key_value_store::compare_and_swap(const std::string& key, std::uint64_t expected_revision,
                                            const std::string& value, const std::string& lease_id,
                                            put_handler handler)
{
    if (value.size() > max_store_value) {
        state_->post([handler = std::move(handler)] {
            handler({put_status::refused, 0, "the value is above 1 MB"});
        });
        return;
    }
    if (!state_->admit()) {
        state_->post([handler = std::move(handler)] {
            handler({put_status::refused, 0, throttled_message});
        });
        return;
    }
    http_request request;
    request.method = "PUT";
    request.target = key_target(key) + "?expect=" + std::to_string(expected_revision);
    if (!lease_id.empty()) {
        request.target += "&lease=" + percent_encode(lease_id);
    }
    request.body = value;
    state_->start_write(std::move(request), state_->counts.puts,
                        [self = state_.get(), handler = std::move(handler)](const http_result& it) {
                            const auto result = to_put_result(it);
                            if (result.status == put_status::unknown) {
                                ++self->counts.lost_answers;
                            }
                            handler(result);
                        });
}

void http_key_value_store::grant_lease(std::chrono::milliseconds lifetime, lease_handler handler)
{
    if (!state_->admit()) {
        state_->post([handler = std::move(handler)] {
            handler({false, false, {}, throttled_message});
        });
        return;
    }
    http_request request;
    request.method = "POST";
    request.target = "/v1/leases?ttl_ms=" + std::to_string(lifetime.count());
    state_->start_write(std::move(request), state_->counts.lease_calls,
                        [handler = std::move(handler)](const http_result& it) {
                            handler(to_lease_result(it, {}));
                        });
}

void http_key_value_store::renew_lease(const std::string& lease_id, lease_handler handler)
{
    state_->rate.consume(state_->clock.now());
    http_request request;
    request.method = "POST";
    request.target = "/v1/leases/" + percent_encode(lease_id) + "/renew";
    state_->start_write(std::move(request), state_->counts.lease_calls,
                        [handler = std::move(handler), lease_id](const http_result& it) {
                            handler(to_lease_result(it, lease_id));
                        });
}

void http_key_value_store::revoke_lease(const std::string& lease_id, lease_handler handler)
{
    state_->rate.consume(state_->clock.now());
    http_request request;
    request.method = "DELETE";
    request.target = "/v1/leases/" + percent_encode(lease_id);
    state_->start_write(std::move(request), state_->counts.lease_calls,
                        [handler = std::move(handler), lease_id](const http_result& it) {
                            handler(to_lease_result(it, lease_id));
                        });
}

const store_call_counts& http_key_value_store::counts() const
{
    return state_->counts;
}

std::size_t http_key_value_store::in_flight() const
{
    return state_->in_flight;
}

std::size_t http_key_value_store::pending_watches() const
{
    return state_->watches;
}

} // namespace almondline
