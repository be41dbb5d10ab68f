#include "standins/internal/wait_signal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace almondline::standins {

namespace asio = boost::asio;

asio::awaitable<void> wait_signal::wait_until(steady_time deadline)
{
    asio::steady_timer timer{co_await asio::this_coro::executor, deadline};
    waiting_.insert(&timer);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    waiting_.erase(&timer);
}

void wait_signal::notify()
{
    for (auto* it : waiting_) {
        it->cancel();
    }
}

} // namespace almondline::standins
