#include "store/weight_store.h"

#include "store/internal/platform_call.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <charconv>

namespace almondline {

namespace asio = boost::asio;
using namespace store_internal;

namespace {

constexpr std::chrono::seconds default_retry_after{1};

std::chrono::milliseconds retry_after_of(const http_response& response)
{
    const auto text = find_header(response.headers, "Retry-After");
    int seconds = 0;
    const auto [ptr, ec] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    return ec == std::errc{} && seconds > 0 ? std::chrono::seconds{seconds} : default_retry_after;
}

weight_result to_weight_result(const http_result& answer)
{
    weight_result result;
    if (answer.progress == http_progress::complete && answer.response.status == 200) {
        result.status = weight_status::found;
        result.body = answer.response.body;
        return result;
    }
    result.message = describe_failure(answer);
    if (answer.progress == http_progress::complete && answer.response.status == 404) {
        result.status = weight_status::missing;
    }
    if (answer.progress == http_progress::complete && answer.response.status == 429) {
        result.status = weight_status::limited;
        result.retry_after = retry_after_of(answer.response);
    }
    return result;
}

} // namespace

struct weight_store::state : std::enable_shared_from_this<state> {
    state(asio::any_io_executor control, std::vector<ip_endpoint> addresses, http_timeouts limit)
        : executor{std::move(control)}, ring{std::move(addresses)}, timeouts{limit}
    {
    }

    asio::awaitable<void> run(std::string name, handler done)
    {
        const auto self = shared_from_this();
        http_request request;
        request.target = "/v1/weights/" + percent_encode(name);
        const std::function<void()> count = [] {};
        const auto answer = co_await call_read(ring, request, timeouts, count);
        if (!is_closed) {
            done(to_weight_result(answer));
        }
    }

    asio::any_io_executor executor;
    address_ring ring;
    http_timeouts timeouts;
    bool is_closed = false;
};

weight_store::weight_store(asio::any_io_executor executor, std::vector<ip_endpoint> addresses,
                           http_timeouts timeouts)
    : state_{std::make_shared<state>(std::move(executor), std::move(addresses), timeouts)}
{
}

weight_store::~weight_store()
{
    state_->is_closed = true;
}

void weight_store::fetch(const std::string& name, handler done)
{
    asio::post(state_->executor, [self = state_, name, done = std::move(done)] {
        asio::co_spawn(self->executor, self->run(name, done), asio::detached);
    });
}

} // namespace almondline
