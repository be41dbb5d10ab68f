#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/channel.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <memory>

namespace almondline::entry {

/// Starts an operation on the given executor and suspends the calling coroutine until the result
/// arrives. The operation receives a function that delivers the result, which must be called
/// exactly once and may be called on any thread.
template <class T>
boost::asio::awaitable<T> call_on(boost::asio::any_io_executor executor,
                                  std::function<void(std::function<void(T)>)> start)
{
    using channel_type = boost::asio::experimental::channel<void(boost::system::error_code, T)>;
    const auto caller = co_await boost::asio::this_coro::executor;
    const auto channel = std::make_shared<channel_type>(caller, 1);
    auto deliver = [channel, caller](T value) {
        boost::asio::post(caller, [channel, value = std::move(value)]() mutable {
            channel->try_send(boost::system::error_code{}, std::move(value));
        });
    };
    boost::asio::post(executor, [start = std::move(start), deliver = std::move(deliver)]() mutable {
        start(std::move(deliver));
    });
    co_return co_await channel->async_receive(boost::asio::use_awaitable);
}

} // namespace almondline::entry
