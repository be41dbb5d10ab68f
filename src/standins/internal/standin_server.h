#pragma once

#include "http/server.h"
#include "standins/internal/fault_board.h"
#include "standins/internal/journal.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace almondline::standins {

/// HTTP server with the fault orders and the journal that all stand-ins share. Requests below
/// /standin/ are not subject to faults, except to refuse-connections. The io_context must run on
/// one thread.
class standin_server {
public:
    /// The handler answers every request but /standin/faults and /standin/journal.
    standin_server(boost::asio::io_context& io, const ip_endpoint& address,
                   const clock_source& clock, http_handler handler);

    std::uint16_t port() const { return port_; }
    void stop();
    /// Appends journal lines to a file from now on; an empty path means none. Throws
    /// std::runtime_error if it can't be opened.
    void open_journal(const std::string& path);
    journal& requests() { return journal_; }
    fault_board& faults() { return board_; }

private:
    void listen();
    void listen_again();
    boost::asio::awaitable<void> handle(http_exchange& exchange);
    boost::asio::awaitable<void> handle_faults(http_exchange& exchange);
    boost::asio::awaitable<bool> apply_before(http_exchange& exchange);
    void close_listener(std::chrono::milliseconds lasting);

    boost::asio::io_context& io_;
    ip_endpoint address_;
    const clock_source& clock_;
    http_handler handler_;
    fault_board board_;
    journal journal_;
    std::uint64_t next_number_ = 0;
    std::uint16_t port_ = 0;
    boost::asio::steady_timer reopen_timer_;
    std::unique_ptr<http_server> server_;
    std::vector<std::unique_ptr<http_server>> closed_servers_;
};

} // namespace almondline::standins
