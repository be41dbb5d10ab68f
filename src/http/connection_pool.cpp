#include "http/connection_pool.h"

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <charconv>

namespace almondline {

namespace asio = boost::asio;

namespace {

/// Value N of "timeout=N" in the Keep-Alive header, 0 if there is none.
std::chrono::seconds announced_timeout(const http_response& response)
{
    constexpr std::string_view name = "timeout=";
    const auto text = find_header(response.headers, "Keep-Alive");
    const auto at = text.find(name);
    int seconds = 0;
    if (at != text.npos) {
        const auto digits = text.substr(at + name.size());
        std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    }
    return std::chrono::seconds{std::max(0, seconds)};
}

} // namespace

std::optional<http_connection> connection_pool::take(const std::string& server)
{
    const auto it = idle_.find(server);
    if (it == idle_.end()) {
        return std::nullopt;
    }
    const auto now = clock_.now();
    while (!it->second.empty()) {
        auto last = std::move(it->second.back());
        it->second.pop_back();
        if (now < last.use_until && last.connection.is_reusable()) {
            ++reused_;
            return std::move(last.connection);
        }
    }
    return std::nullopt;
}

void connection_pool::put(const std::string& server, http_connection connection,
                          const http_response& last)
{
    if (!connection.is_reusable()) {
        return;
    }
    const auto announced = announced_timeout(last);
    const auto idle =
        announced.count() > 0
            ? std::chrono::duration_cast<std::chrono::milliseconds>(
                  std::chrono::duration<double>(announced) * limits_.idle_timeout_fraction)
            : limits_.default_idle_timeout;
    auto& kept = idle_[server];
    kept.push_back({std::move(connection), clock_.now() + idle});
    if (kept.size() > limits_.max_idle_per_server) {
        kept.pop_front();
    }
}

void connection_pool::prune()
{
    const auto now = clock_.now();
    for (auto& [server, kept] : idle_) {
        std::erase_if(kept, [&](const auto& it) { return now >= it.use_until; });
    }
    std::erase_if(idle_, [](const auto& it) { return it.second.empty(); });
}

std::size_t connection_pool::size() const
{
    std::size_t count = 0;
    for (const auto& [server, kept] : idle_) {
        count += kept.size();
    }
    return count;
}

asio::awaitable<http_result> call_pooled(connection_pool& pool, ip_endpoint address,
                                         http_request request, http_timeouts timeouts,
                                         std::size_t max_body, bool may_retry)
{
    const auto server = to_string(address);
    if (auto kept = pool.take(server)) {
        auto result = co_await call_on_connection(*kept, request, timeouts, max_body);
        if (result.progress == http_progress::complete) {
            pool.put(server, std::move(*kept), result.response);
            co_return result;
        }
        // The other connections to this server may be dead too.
        pool.close_all(server);
        if (!may_retry) {
            co_return result;
        }
    }
    http_connection fresh{co_await asio::this_coro::executor};
    fresh.keep_alive(true);
    http_result result;
    result.message = co_await fresh.connect(address, timeouts.connect);
    if (!result.message.empty()) {
        co_return result;
    }
    if (pool.limits().probe_interval.count() > 0) {
        fresh.enable_keepalive_probes(pool.limits().probe_interval);
    }
    result = co_await call_on_connection(fresh, request, timeouts, max_body);
    if (result.progress == http_progress::complete) {
        pool.put(server, std::move(fresh), result.response);
    }
    co_return result;
}

} // namespace almondline
