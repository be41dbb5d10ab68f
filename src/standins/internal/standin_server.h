#pragma once

#include "http/server.h"
#include "standins/internal/active_faults.h"
#include "standins/internal/journal.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace almondline::standins {

/// HTTP server of all stand-ins, with fault orders and a journal. Of the faults, only
/// refuse-connections affects requests below /standin/. The io_context must run on one thread.
class standin_server {
public:
    /// The handler answers all requests except /standin/faults and /standin/journal. Throws
    /// boost::system::system_error if the address can't be bound.
    standin_server(boost::asio::io_context& io, const ip_endpoint& address,
                   const clock_source& clock, http_handler handler);

    std::uint16_t port() const { return port_; }
    void stop();
    /// Appends journal lines to the file from now on; an empty path has no effect. Throws
    /// std::runtime_error if the file can't be opened.
    void open_journal(const std::string& path);
    journal& requests() { return journal_; }
    active_faults& faults() { return active_faults_; }

private:
    void listen();
    void listen_again();
    boost::asio::awaitable<void> handle(http_exchange& exchange);
    boost::asio::awaitable<void> handle_faults(http_exchange& exchange);
    boost::asio::awaitable<bool> apply_early_faults(http_exchange& exchange);
    void close_listener(std::chrono::milliseconds duration);

    boost::asio::io_context& io_;
    ip_endpoint address_;
    const clock_source& clock_;
    http_handler handler_;
    active_faults active_faults_;
    journal journal_;
    std::uint64_t next_exchange_number_ = 0;
    std::uint16_t port_ = 0;
    boost::asio::steady_timer reopen_timer_;
    std::unique_ptr<http_server> server_;
    std::vector<std::unique_ptr<http_server>> closed_servers_;
};

} // namespace almondline::standins
