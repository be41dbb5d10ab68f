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

/// Starts an operation on another executor, usually the control thread, and waits for its result on
/// the own one. The operation gets a function to deliver the result with, once, from any thread.
template <class T>
boost::asio::awaitable<T> call_on(boost::asio::any_io_executor where,
                                  std::function<void(std::function<void(T)>)> start)
{
    using channel_type = boost::asio::experimental::channel<void(boost::system::error_code, T)>;
    const auto own = co_await boost::asio::this_coro::executor;
    const auto channel = std::make_shared<channel_type>(own, 1);
    auto deliver = [channel, own](T value) {
        boost::asio::post(own, [channel, value = std::move(value)]() mutable {
            channel->try_send(boost::system::error_code{}, std::move(value));
        });
    };
    boost::asio::post(where, [start = std::move(start), deliver = std::move(deliver)]() mutable {
        start(std::move(deliver));
    });
    co_return co_await channel->async_receive(boost::asio::use_awaitable);
}

} // namespace almondline::entry
