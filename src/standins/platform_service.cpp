#include "standins/platform_service.h"

#include "common/json.h"
#include "standins/internal/error_response.h"
#include "standins/internal/key_value_model.h"
#include "standins/internal/standin_server.h"
#include "standins/internal/wait_signal.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <charconv>
#include <deque>

namespace almondline::standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t max_value_bytes = 1'000'000;
constexpr std::chrono::milliseconds lease_check_interval{10};
constexpr std::chrono::seconds max_watch_wait{300};
constexpr std::string_view kv_prefix = "/v1/kv/";
constexpr std::string_view lease_prefix = "/v1/leases/";
constexpr std::string_view weights_prefix = "/v1/weights/";
constexpr std::string_view instances_prefix = "/standin/instances/";

http_response number_response(int status, std::string_view name, std::uint64_t number)
{
    json::object body;
    body[name] = number;
    return json_response(status, json::serialize(body));
}

/// Returns false if the text is not a whole number.
bool parse_number(const std::string& text, std::uint64_t& n)
{
    const auto* const last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data(), last, n);
    return ec == std::errc{} && end == last;
}

/// A change of the instance list that becomes visible later. The entry is null for a removal.
struct list_change {
    std::string id;
    json::value entry;
    steady_time visible_from{};
};

} // namespace

struct platform_service::state : std::enable_shared_from_this<platform_service::state> {
    state(asio::io_context& context, const clock_source& time_source,
          const platform_options& service_options);

    void check_leases();
    asio::awaitable<void> handle(http_exchange& exchange);
    asio::awaitable<void> handle_get(http_exchange& exchange, std::string key);
    asio::awaitable<void> delay_call();
    http_response put(const http_request& request, const std::string& key);
    http_response handle_lease_call(const http_request& request, const std::string& path);
    http_response list_instances();
    http_response change_instance(const http_request& request, const std::string& id);
    http_response change_settings(const std::string& body);
    http_response weights();
    http_response call_counts() const;
    bool consume_call(rate_limit& limit);
    http_response value_response(const std::string& key) const;
    std::uint64_t revision_of(const std::string& key) const;

    const clock_source& clock;
    platform_options options;
    key_value_model model;
    rate_limit writes;
    rate_limit reads;
    rate_limit weight_reads;
    wait_signal changed;
    std::deque<list_change> list_changes;
    std::map<std::string, json::value> instances;
    std::map<std::string, std::uint64_t> counts;
    bool is_stopped = false;
    asio::steady_timer timer;
    standin_server server;
};

platform_service::state::state(asio::io_context& context, const clock_source& time_source,
                               const platform_options& service_options)
    : clock{time_source}, options{service_options}, timer{context},
      server{context, options.listen, time_source,
             [this](http_exchange& exchange) -> asio::awaitable<void> { return handle(exchange); }}
{
    writes.per_second = options.writes_per_second;
    reads.per_second = options.reads_per_second;
    weight_reads.per_second = options.weights_per_second;
    check_leases();
}

void platform_service::state::check_leases()
{
    if (expire_leases(model, clock.now())) {
        changed.notify();
    }
    timer.expires_after(lease_check_interval);
    timer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec && !is_stopped) {
            check_leases();
        }
    });
}

bool platform_service::state::consume_call(rate_limit& limit)
{
    const bool is_ok = consume_token(limit, clock.now());
    if (!is_ok) {
        ++counts["rate_limited"];
    }
    return is_ok;
}

std::uint64_t platform_service::state::revision_of(const std::string& key) const
{
    const auto it = model.values.find(key);
    return it == model.values.end() ? 0 : it->second.revision;
}

http_response platform_service::state::value_response(const std::string& key) const
{
    const auto it = model.values.find(key);
    if (it == model.values.end()) {
        return error_response(404, "no such key");
    }
    json::object body;
    body["value"] = it->second.value;
    body["revision"] = it->second.revision;
    return json_response(200, json::serialize(body));
}

asio::awaitable<void> platform_service::state::handle_get(http_exchange& exchange, std::string key)
{
    const std::string target = exchange.request().target;
    const std::string after_text = query_parameter(target, "after");
    const bool is_watch = !after_text.empty();
    ++counts[is_watch ? "watch" : "get"];
    if (!consume_call(reads)) {
        co_await exchange.reply(error_response(429, "read rate limit exceeded"));
        co_return;
    }
    if (!is_watch) {
        co_await exchange.reply(value_response(key));
        co_return;
    }
    std::uint64_t after = 0;
    std::uint64_t wait = 0;
    if (!parse_number(after_text, after) || !parse_number(query_parameter(target, "wait"), wait)) {
        co_await exchange.reply(error_response(400, "after and wait must be whole numbers"));
        co_return;
    }
    const auto limit = std::min(std::chrono::seconds{wait}, max_watch_wait);
    const auto deadline = clock.now() + limit;
    const auto is_same = [&] {
        const auto revision = revision_of(key);
        // A caller that passes a revision has seen the key, so the absence of the key is a change.
        return revision <= after && !(after > 0 && revision == 0);
    };
    while (is_same() && clock.now() < deadline) {
        co_await changed.wait_until(deadline);
    }
    co_await exchange.reply(value_response(key));
}

http_response platform_service::state::put(const http_request& request, const std::string& key)
{
    ++counts["put"];
    if (request.body.size() > max_value_bytes) {
        return error_response(413, "the value exceeds 1 MB");
    }
    std::uint64_t expected = 0;
    if (!parse_number(query_parameter(request.target, "expect"), expected)) {
        return error_response(400, "expect must be a whole number");
    }
    if (!consume_call(writes)) {
        return error_response(429, "write rate limit exceeded");
    }
    const auto lease = query_parameter(request.target, "lease");
    expire_leases(model, clock.now());
    const auto result = compare_and_swap(model, key, expected, request.body, lease);
    if (result.status == swap_status::no_lease) {
        return error_response(404, "no such lease");
    }
    if (result.status == swap_status::conflict) {
        ++counts["put_conflict"];
        return number_response(409, "revision", result.revision);
    }
    changed.notify();
    return number_response(200, "revision", result.revision);
}

http_response platform_service::state::handle_lease_call(const http_request& request,
                                                         const std::string& path)
{
    ++counts["lease"];
    if (!consume_call(writes)) {
        return error_response(429, "write rate limit exceeded");
    }
    if (path == "/v1/leases" && request.method == "POST") {
        std::uint64_t lifetime = 0;
        if (!parse_number(query_parameter(request.target, "ttl_ms"), lifetime) || lifetime == 0) {
            return error_response(400, "ttl_ms must be a whole number above 0");
        }
        json::object body;
        body["lease"] = grant_lease(model, std::chrono::milliseconds{lifetime}, clock.now());
        return json_response(200, json::serialize(body));
    }
    std::string id = path.substr(std::min(path.size(), lease_prefix.size()));
    constexpr std::string_view renew_suffix = "/renew";
    bool is_known = false;
    if (request.method == "POST" && id.ends_with(renew_suffix)) {
        id.resize(id.size() - renew_suffix.size());
        is_known = renew_lease(model, percent_decode(id), clock.now());
    }
    else if (request.method == "DELETE") {
        is_known = revoke_lease(model, percent_decode(id));
        changed.notify();
    }
    return is_known ? json_response(200, "{}") : error_response(404, "no such lease");
}

http_response platform_service::state::list_instances()
{
    ++counts["instances"];
    const auto now = clock.now();
    while (!list_changes.empty() && list_changes.front().visible_from <= now) {
        auto& change = list_changes.front();
        instances.erase(change.id);
        if (change.entry.is_object()) {
            instances.emplace(change.id, std::move(change.entry));
        }
        list_changes.pop_front();
    }
    json::array lines;
    for (const auto& [id, entry] : instances) {
        lines.push_back(entry);
    }
    json::object body;
    body["instances"] = std::move(lines);
    return json_response(200, json::serialize(body));
}

http_response platform_service::state::change_instance(const http_request& request,
                                                       const std::string& id)
{
    list_change change{id, nullptr, clock.now() + options.list_lag};
    if (request.method == "PUT") {
        auto entry = boost::leaf::try_handle_all([&] { return parse_json(request.body); },
                                                 [] { return json::value{}; });
        if (!entry.is_object()) {
            return error_response(400, "the instance list entry must be a JSON object");
        }
        entry.get_object()["id"] = id;
        change.entry = std::move(entry);
    }
    else if (request.method != "DELETE") {
        return error_response(405, "only PUT and DELETE are allowed");
    }
    list_changes.push_back(std::move(change));
    return json_response(200, "{}");
}

http_response platform_service::state::change_settings(const std::string& body)
{
    const auto settings =
        boost::leaf::try_handle_all([&] { return parse_json(body); }, [] { return json::value{}; });
    const auto lag = integer_or(settings, "list_lag_ms", options.list_lag.count());
    const auto slowness = integer_or(settings, "slowness_ms", options.slowness.count());
    if (lag < 0 || slowness < 0) {
        return error_response(400, "list_lag_ms and slowness_ms must not be negative");
    }
    options.list_lag = std::chrono::milliseconds{lag};
    options.slowness = std::chrono::milliseconds{slowness};
    return json_response(200, "{}");
}

http_response platform_service::state::weights()
{
    ++counts["weights"];
    if (!consume_call(weight_reads)) {
        return error_response(429, "weight store rate limit exceeded");
    }
    return {200,
            {{"Content-Type", "application/octet-stream"}},
            std::string(options.weight_bytes, 'w')};
}

http_response platform_service::state::call_counts() const
{
    json::object body;
    for (const auto& [kind, n] : counts) {
        body[kind] = n;
    }
    return json_response(200, json::serialize(body));
}

asio::awaitable<void> platform_service::state::delay_call()
{
    if (options.slowness.count() == 0) {
        co_return;
    }
    asio::steady_timer wait{timer.get_executor(), options.slowness};
    co_await wait.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> platform_service::state::handle(http_exchange& exchange)
{
    const auto self = shared_from_this();
    const auto& request = exchange.request();
    const std::string path{target_path(request.target)};
    auto response = error_response(404, "no such path");
    if (path.starts_with(kv_prefix) || path.starts_with("/v1/leases")) {
        co_await delay_call();
    }
    if (path.starts_with(kv_prefix) && request.method == "GET") {
        co_await handle_get(exchange, percent_decode(path.substr(kv_prefix.size())));
        co_return;
    }
    if (path.starts_with(kv_prefix) && request.method == "PUT") {
        response = put(request, percent_decode(path.substr(kv_prefix.size())));
    }
    else if (path.starts_with("/v1/leases")) {
        response = handle_lease_call(request, path);
    }
    else if (path == "/v1/instances") {
        response = list_instances();
    }
    else if (path.starts_with(weights_prefix)) {
        response = weights();
    }
    else if (path.starts_with(instances_prefix)) {
        response = change_instance(request, percent_decode(path.substr(instances_prefix.size())));
    }
    else if (path == "/standin/settings" && request.method == "POST") {
        response = change_settings(request.body);
    }
    else if (path == "/standin/counts") {
        response = call_counts();
    }
    co_await exchange.reply(std::move(response));
}

platform_service::platform_service(asio::io_context& io, const clock_source& clock,
                                   const platform_options& options)
    : state_{std::make_shared<state>(io, clock, options)}
{
}

platform_service::~platform_service()
{
    stop();
}

std::uint16_t platform_service::port() const
{
    return state_->server.port();
}

void platform_service::stop()
{
    state_->is_stopped = true;
    state_->timer.cancel();
    state_->server.stop();
}

} // namespace almondline::standins
