#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>

namespace almondline::fleet {

/// Runs the action as soon as the context runs, and again after each interval until it returns
/// false.
void run_periodically(boost::asio::io_context& io, std::chrono::milliseconds interval,
                      std::function<bool()> action);

} // namespace almondline::fleet
