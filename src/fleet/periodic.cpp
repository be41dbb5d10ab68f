#include "fleet/periodic.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace almondline::fleet {

namespace asio = boost::asio;

namespace {

asio::awaitable<void> repeat(asio::io_context& io, std::chrono::milliseconds interval,
                             std::function<bool()> action)
{
    asio::steady_timer timer{io};
    while (action()) {
        timer.expires_after(interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace

void run_periodically(asio::io_context& io, std::chrono::milliseconds interval,
                      std::function<bool()> action)
{
    asio::co_spawn(io, repeat(io, interval, std::move(action)), asio::detached);
}

} // namespace almondline::fleet
