#pragma once

#include "http/client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace almondline::standins {

/// Runs a stand-in on a free loopback port and sends requests to it.
template <class Service, class Options>
struct service_fixture {
    explicit service_fixture(const Options& options = {}) : service{io, clock, options} {}

    http_result call(const http_request& request) { return call_all({request}).front(); }

    http_result call(const std::string& method, const std::string& target,
                     const std::string& body = {}, const std::string& id = {})
    {
        http_request request{method, target, {}, body};
        if (!id.empty()) {
            request.headers.push_back({"X-Request-Id", id});
        }
        return call(request);
    }

    /// Sends the requests concurrently and returns when all have ended.
    std::vector<http_result> call_all(const std::vector<http_request>& requests)
    {
        std::vector<http_result> results(requests.size());
        std::size_t left = requests.size();
        const auto run = [&](std::size_t i) -> boost::asio::awaitable<void> {
            const ip_endpoint address{"127.0.0.1", service.port()};
            results[i] = co_await call_http(address, requests[i], timeouts);
            if (--left == 0) {
                io.stop();
            }
        };
        for (std::size_t i = 0; i < requests.size(); ++i) {
            boost::asio::co_spawn(io, run(i), boost::asio::detached);
        }
        io.restart();
        io.run();
        return results;
    }

    void inject(const std::string& fault) { call("POST", "/standin/faults", fault); }

    boost::asio::io_context io;
    system_clock_source clock;
    http_timeouts timeouts;
    Service service;
};

} // namespace almondline::standins
