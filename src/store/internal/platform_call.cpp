#include "store/internal/platform_call.h"

namespace almondline::store_internal {

namespace asio = boost::asio;

namespace {

bool is_usable(const http_result& result)
{
    return result.progress == http_progress::complete && result.response.status < 500;
}

} // namespace

asio::awaitable<http_result> call_read(address_ring& ring, const http_request& request,
                                       const http_timeouts& timeouts,
                                       const std::function<void()>& on_call)
{
    http_result result;
    result.message = "no address is configured";
    std::size_t index = ring.preferred();
    for (std::size_t n = 0; n < ring.size(); ++n) {
        on_call();
        result = co_await call_http(ring.at(index), request, timeouts);
        if (is_usable(result)) {
            co_return result;
        }
        ring.mark_failed(index);
        index = ring.next(index);
    }
    co_return result;
}

asio::awaitable<http_result> call_write(address_ring& ring, const http_request& request,
                                        const http_timeouts& timeouts)
{
    http_result result;
    if (ring.size() == 0) {
        result.message = "no address is configured";
        co_return result;
    }
    const std::size_t index = ring.preferred();
    result = co_await call_http(ring.at(index), request, timeouts);
    if (!is_usable(result)) {
        ring.mark_failed(index);
    }
    co_return result;
}

std::string describe_failure(const http_result& result)
{
    if (result.progress == http_progress::complete) {
        return "the service answered " + std::to_string(result.response.status);
    }
    return result.message.empty() ? "no complete answer" : result.message;
}

} // namespace almondline::store_internal
