#pragma once

#include "common/settings.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

namespace almondline::standins {

/// Runs the context until SIGTERM or SIGINT. Prints "listening IP:PORT" on standard output first.
/// Returns the exit code.
int run_program(boost::asio::io_context& io, const ip_endpoint& address, std::uint16_t port,
                const std::function<void()>& stop);

/// Text for --version.
std::string version_text(const std::string& program);

} // namespace almondline::standins
