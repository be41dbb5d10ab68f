#include "standins/internal/program.h"

#include "common/log.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

namespace almondline::standins {

int run_program(boost::asio::io_context& io, const ip_endpoint& address, std::uint16_t port,
                const std::function<void()>& stop)
{
    boost::asio::signal_set signals{io, SIGTERM, SIGINT};
    signals.async_wait([&](const boost::system::error_code&, int) {
        stop();
        io.stop();
    });
    std::cout << "listening " << address.host << ":" << port << std::endl;
    io.run();
    log_event("standin", log_level::info, "stopped");
    return 0;
}

std::string version_text(const std::string& program)
{
    return program + " " + ALMONDLINE_VERSION + " (stand-in for tests)";
}

} // namespace almondline::standins
