#include "raw_caller.h"

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>
#include <thread>
#include <vector>

using namespace almondline;
namespace asio = boost::asio;

namespace {

constexpr std::size_t kib = 1024;
constexpr std::size_t total_bytes = 1024 * kib;
constexpr std::size_t body_bytes = 256 * kib;
constexpr std::string_view last_chunk = "0\r\n\r\n";

http_server_limits small_budget()
{
    http_server_limits limits;
    limits.max_total_body_bytes = total_bytes;
    limits.unannounced_body_bytes = 64 * kib;
    limits.read_timeout = std::chrono::milliseconds{2'000};
    return limits;
}

/// A chunked request with this many bytes, a multiple of 64 KiB, without its last chunk.
std::string chunked_request(std::size_t bytes)
{
    std::string out = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t n = 0; n < bytes; n += 64 * kib) {
        out += "10000\r\n" + std::string(64 * kib, 'x') + "\r\n";
    }
    return out;
}

asio::awaitable<void> reply_with_size(http_exchange& exchange)
{
    const auto bytes = std::to_string(exchange.request().body.size());
    co_await exchange.reply(json_response(200, R"({"body":{"bytes":)" + bytes + "}}"));
}

bool is_refusal(const std::string& answer)
{
    return answer.starts_with("HTTP/1.1 503 ") && answer.find("too-many-bytes") != answer.npos &&
           answer.find("X-Verdict: not-run") != answer.npos &&
           answer.find("Retry-After: ") != answer.npos &&
           answer.find("Connection: close") != answer.npos;
}

} // namespace

// Only 64 KiB were reserved for a chunked body of any length, so that many of them exhausted the
// memory of the process.
TEST_CASE("many chunked bodies at once stay within the total for requests in progress")
{
    constexpr int callers = 8;
    std::atomic<std::size_t> held_bytes{0};
    std::atomic<int> held{0};
    std::atomic<int> refused{0};
    std::atomic<int> other{0};
    std::atomic<bool> is_released{false};
    running_server running{[&](http_exchange& exchange) -> asio::awaitable<void> {
                               held_bytes += exchange.request().body.size();
                               ++held;
                               asio::steady_timer timer{co_await asio::this_coro::executor};
                               while (!is_released) {
                                   timer.expires_after(std::chrono::milliseconds{5});
                                   co_await timer.async_wait(asio::use_awaitable);
                               }
                               co_await reply_with_size(exchange);
                           },
                           small_budget()};
    std::vector<std::jthread> threads;
    threads.reserve(callers);
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([&] {
            raw_caller caller{running.server};
            caller.send(chunked_request(body_bytes));
            caller.send(last_chunk);
            const auto answer = caller.read_until("}}");
            if (is_refusal(answer)) {
                ++refused;
            }
            else if (!answer.starts_with("HTTP/1.1 200 ")) {
                ++other;
            }
        });
    }
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{4};
    while (held + refused < callers && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    CHECK(held + refused == callers);
    CHECK(held >= 1);
    CHECK(refused >= 4);
    CHECK(held_bytes <= total_bytes);
    is_released = true;
    threads.clear();
    CHECK(other == 0);
}

// A chunked body was read to its end before anything was decided about it.
TEST_CASE("a chunked body is refused while it is read, and its memory is free again")
{
    running_server running{reply_with_size, small_budget()};
    for (int i = 0; i < 4; ++i) {
        CAPTURE(i);
        raw_caller large{running.server};
        large.send(chunked_request(3 * total_bytes / 2));
        CHECK(is_refusal(large.read_all()));
        CHECK(large.ec == asio::error::eof);
        raw_caller small{running.server};
        small.send(chunked_request(body_bytes));
        small.send(last_chunk);
        const auto answer = small.read_until("}}");
        CHECK(answer.starts_with("HTTP/1.1 200 "));
        CHECK(answer.find(std::to_string(body_bytes)) != answer.npos);
    }
}
