#pragma once

#include "http/server.h"
#include "standins/internal/active_faults.h"

namespace almondline::standins {

/// Applies the active faults to the response of another exchange.
class faulty_exchange final : public http_exchange {
public:
    /// number is the index of the exchange on the server, for fault_kind::silence.
    faulty_exchange(http_exchange& inner, active_faults& active, const clock_source& clock,
                    std::uint64_t number);

    const http_request& request() const override { return inner_.request(); }
    std::string take_body() override { return inner_.take_body(); }
    boost::asio::awaitable<bool> reply(http_response response) override;
    boost::asio::awaitable<bool> start_stream(int status,
                                              std::vector<http_header> headers) override;
    boost::asio::awaitable<bool> write_chunk(std::string_view data) override;
    boost::asio::awaitable<bool> end_stream() override;
    boost::asio::awaitable<void> wait_closed() override;
    void close_after_response() override { inner_.close_after_response(); }
    void abort() override { inner_.abort(); }
    std::string remote_address() const override { return inner_.remote_address(); }

private:
    bool is_silent() const { return exchange_number_ < active_faults_.silenced_below; }
    std::optional<fault_order> consume(fault_kind kind);
    boost::asio::awaitable<bool> hold_until_closed();
    boost::asio::awaitable<bool> reply_half(http_response response);

    http_exchange& inner_;
    active_faults& active_faults_;
    const clock_source& clock_;
    std::uint64_t exchange_number_;
    std::optional<int> events_left_;
};

} // namespace almondline::standins
