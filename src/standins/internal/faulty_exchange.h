#pragma once

#include "http/server.h"
#include "standins/internal/fault_board.h"

namespace almondline::standins {

/// Applies the orders of a fault board to the response of another exchange.
class faulty_exchange final : public http_exchange {
public:
    /// number: position among the exchanges of the server, for fault_kind::silence.
    faulty_exchange(http_exchange& inner, fault_board& board, const clock_source& clock,
                    std::uint64_t number);

    const http_request& request() const override { return inner_.request(); }
    boost::asio::awaitable<bool> reply(http_response response) override;
    boost::asio::awaitable<bool> start_stream(int status,
                                              std::vector<http_header> headers) override;
    boost::asio::awaitable<bool> write_chunk(std::string_view data) override;
    boost::asio::awaitable<bool> end_stream() override;
    boost::asio::awaitable<void> wait_closed() override;
    void close_when_answered() override { inner_.close_when_answered(); }
    void abort() override { inner_.abort(); }
    std::string remote_address() const override { return inner_.remote_address(); }

private:
    bool is_silent() const { return number_ < board_.silenced_below; }
    std::optional<fault_order> take(fault_kind kind);
    boost::asio::awaitable<bool> hold();
    boost::asio::awaitable<bool> reply_half(http_response response);

    http_exchange& inner_;
    fault_board& board_;
    const clock_source& clock_;
    std::uint64_t number_;
    std::optional<int> events_left_;
};

} // namespace almondline::standins
