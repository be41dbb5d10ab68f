#include "standins/internal/faulty_exchange.h"

namespace almondline::standins {

namespace asio = boost::asio;

faulty_exchange::faulty_exchange(http_exchange& inner, active_faults& active,
                                 const clock_source& clock, std::uint64_t number)
    : inner_{inner}, active_faults_{active}, clock_{clock}, exchange_number_{number}
{
}

std::optional<fault_order> faulty_exchange::consume(fault_kind kind)
{
    const auto path = target_path(request().target);
    return consume_fault(active_faults_, kind, request().method, path, clock_.now());
}

asio::awaitable<bool> faulty_exchange::hold_until_closed()
{
    co_await inner_.wait_closed();
    inner_.abort();
    co_return false;
}

asio::awaitable<bool> faulty_exchange::reply_half(http_response response)
{
    const bool is_started = co_await inner_.start_stream(response.status, response.headers);
    if (is_started) {
        co_await inner_.write_chunk(response.body.substr(0, response.body.size() / 2));
    }
    inner_.abort();
    co_return false;
}

asio::awaitable<bool> faulty_exchange::reply(http_response response)
{
    if (is_silent()) {
        co_return co_await hold_until_closed();
    }
    if (consume(fault_kind::reset_after) || consume(fault_kind::lost_answer)) {
        inner_.abort();
        co_return false;
    }
    if (consume(fault_kind::reset_during)) {
        co_return co_await reply_half(std::move(response));
    }
    co_return co_await inner_.reply(std::move(response));
}

asio::awaitable<bool> faulty_exchange::start_stream(int status, std::vector<http_header> headers)
{
    if (is_silent()) {
        co_return co_await hold_until_closed();
    }
    if (consume(fault_kind::reset_after) || consume(fault_kind::lost_answer)) {
        inner_.abort();
        co_return false;
    }
    if (consume(fault_kind::reset_during)) {
        events_left_ = 1;
    }
    if (const auto cut = consume(fault_kind::cut_stream)) {
        events_left_ = cut->after_events;
    }
    co_return co_await inner_.start_stream(status, std::move(headers));
}

asio::awaitable<bool> faulty_exchange::write_chunk(std::string_view data)
{
    if (is_silent()) {
        co_return co_await hold_until_closed();
    }
    if (events_left_ && *events_left_ == 0) {
        inner_.abort();
        co_return false;
    }
    if (events_left_ && data.substr(0, 1) != ":") {
        --*events_left_;
    }
    co_return co_await inner_.write_chunk(data);
}

asio::awaitable<bool> faulty_exchange::end_stream()
{
    if (is_silent()) {
        co_return co_await hold_until_closed();
    }
    co_return co_await inner_.end_stream();
}

asio::awaitable<void> faulty_exchange::wait_closed()
{
    co_await inner_.wait_closed();
}

} // namespace almondline::standins
