#include "common/json.h"
#include "common/log.h"
#include "standins/internal/engine_state.h"
#include "standins/internal/error_response.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <charconv>
#include <cmath>

namespace almondline::standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view kv_prefix = "/v1/kv/";

json::value read_json(const std::string& body)
{
    return boost::leaf::try_handle_all([&] { return parse_json(body); },
                                       [] { return json::value{}; });
}

std::string block_content(const std::string& block)
{
    return "kv:" + block;
}

} // namespace

http_response engine_service::state::load_report() const
{
    const auto now = clock.now();
    const auto& sample = samples.front();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - sample.taken);
    json::object body;
    body["age_ms"] = age.count();
    body["running"] = sample.running;
    body["waiting"] = sample.waiting;
    body["kv_used_tokens"] = static_cast<std::int64_t>(sample.kv_used_tokens);
    body["kv_capacity_tokens"] = static_cast<std::int64_t>(model.speed.kv_capacity_tokens);
    body["leaving"] = is_leaving;
    body["role"] = role;
    body["models"] = json::array(models.begin(), models.end());
    return json_response(200, json::serialize(body));
}

int engine_service::state::count_unfinished_requests(const std::string& name) const
{
    return static_cast<int>(std::count_if(streams.begin(), streams.end(), [&](const auto& it) {
        return it.second->model == name && !it.second->is_complete() && !it.second->is_cancelled;
    }));
}

http_response engine_service::state::handle_order(const std::string& body)
{
    const auto order = read_json(body);
    const std::string kind = string_or(order, "kind");
    const std::string target = string_or(order, "target");
    const std::int64_t fencing = integer_or(order, "fencing", -1);
    if (kind.empty() || target.empty() || fencing < 0) {
        return error_response(400, "kind, target and fencing are required");
    }
    if (options.checks_fencing && fencing < highest_fencing) {
        ++orders_refused;
        note_order(server.requests(), {kind, target, fencing, false, 0, 0}, clock.wall());
        json::object refused;
        refused["fencing"] = highest_fencing;
        return json_response(409, json::serialize(refused));
    }
    const int interrupted = kind == "unload-model" ? count_unfinished_requests(target) : 0;
    if (kind == "load-model") {
        models.insert(target);
        serves_any_model = false;
    }
    else if (kind == "unload-model") {
        models.erase(target);
    }
    else if (kind == "load-adapter") {
        adapters.insert(target);
    }
    else if (kind == "version") {
        version = target;
    }
    else if (kind == "role") {
        role = target;
    }
    else {
        return error_response(400, "unknown order kind");
    }
    highest_fencing = std::max(highest_fencing, fencing);
    ++orders_taken;
    note_order(server.requests(), {kind, target, fencing, true, interrupted, 0}, clock.wall());
    log_event("standin", log_level::info, "order",
              {{"kind", kind}, {"target", target}, {"fencing", fencing}});
    return json_response(200, "{}");
}

http_response engine_service::state::handle_kv_block(const http_request& request,
                                                     const std::string& name)
{
    std::uint64_t block = 0;
    if (!parse_block(name, block)) {
        return error_response(400, "the block must have 16 hexadecimal digits");
    }
    if (request.method == "GET") {
        if (model.cache.positions.count(block) == 0) {
            return error_response(404, "no such block");
        }
        return {200, {{"Content-Type", "application/octet-stream"}}, block_content(name)};
    }
    if (request.method != "PUT" || request.body != block_content(name)) {
        return error_response(400, "expected PUT with the content of this block");
    }
    append_changes(events, store_blocks(model.cache, {block}), clock.now());
    return json_response(200, "{}");
}

http_response engine_service::state::change_settings(const std::string& body)
{
    const auto json = read_json(body);
    is_leaving = bool_or(json, "leaving", is_leaving);
    options.checks_fencing = bool_or(json, "checks_fencing", options.checks_fencing);
    const double factor = number_or(json, "slow_factor", model.speed.slow_factor);
    if (factor <= 0) {
        return error_response(400, "slow_factor must be above 0");
    }
    model.speed.slow_factor = factor;
    return json_response(200, "{}");
}

http_response engine_service::state::describe() const
{
    json::object body;
    body["role"] = role;
    body["version"] = version;
    body["models"] = json::array(models.begin(), models.end());
    body["adapters"] = json::array(adapters.begin(), adapters.end());
    body["fencing"] = highest_fencing;
    body["orders_taken"] = orders_taken;
    body["orders_refused"] = orders_refused;
    body["prefilled_tokens"] = std::llround(model.counts.prefilled);
    body["wasted_prefill_tokens"] = std::llround(model.counts.wasted_prefill);
    body["cached_tokens"] = std::llround(model.counts.cached);
    body["preemptions"] = model.counts.preemptions;
    body["cache_blocks"] = model.cache.recency.size();
    return json_response(200, json::serialize(body));
}

asio::awaitable<void> engine_service::state::handle_other(http_exchange& exchange)
{
    const auto& request = exchange.request();
    const std::string path{target_path(request.target)};
    auto response = error_response(404, "no such path");
    if (path == "/v1/load") {
        response = load_report();
    }
    else if (path == "/v1/cache/events") {
        const std::string text = query_parameter(request.target, "after");
        std::uint64_t after = 0;
        std::from_chars(text.data(), text.data() + text.size(), after);
        response = json_response(200, events_json(events, after, clock.now()));
    }
    else if (path == "/v1/orders" && request.method == "POST") {
        response = handle_order(request.body);
    }
    else if (path.starts_with(kv_prefix)) {
        response = handle_kv_block(request, path.substr(kv_prefix.size()));
    }
    else if (path == "/standin/settings" && request.method == "POST") {
        response = change_settings(request.body);
    }
    else if (path == "/standin/state") {
        response = describe();
    }
    co_await exchange.reply(std::move(response));
}

} // namespace almondline::standins
