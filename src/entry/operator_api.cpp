#include "entry/operator_api.h"

#include "common/json.h"
#include "common/log.h"
#include "entry/authentication.h"
#include "entry/internal/call_on.h"
#include "entry/refusals.h"

namespace almondline::entry {

namespace asio = boost::asio;

namespace {

constexpr std::string_view prefix = "/operator/";
constexpr std::string_view explain_prefix = "/operator/explain/";

bool starts_with(std::string_view text, std::string_view start)
{
    return text.substr(0, start.size()) == start;
}

http_response change_log_level(const http_request& request)
{
    const auto body = parse_json(request.body);
    const auto component = body ? string_or(*body, "component", "*") : std::string{};
    log_level level{};
    if (!body || !parse_log_level(string_or(*body, "level"), level)) {
        return error_response({400, "bad-request", "level must be debug, info, warning or error"},
                              {});
    }
    set_log_level(component, level);
    return json_response(200, R"({"status":"ok"})");
}

} // namespace

operator_api::operator_api(std::string key_hash, operator_functions functions)
    : key_hash_{std::move(key_hash)}, functions_{std::move(functions)}
{
}

asio::awaitable<void> operator_api::run(http_exchange& exchange)
{
    const auto& request = exchange.request();
    const auto path = target_path(request.target);
    const auto executor = co_await asio::this_coro::executor;
    if (path == "/operator/status" && request.method == "GET") {
        auto body = co_await call_on<std::string>(executor, functions_.status);
        co_await exchange.reply(json_response(200, std::move(body)));
        co_return;
    }
    if (starts_with(path, explain_prefix) && request.method == "GET") {
        const auto id = percent_decode(path.substr(explain_prefix.size()));
        const std::function<void(operator_functions::deliver)> start =
            [this, id](operator_functions::deliver done) {
                functions_.explain(id, std::move(done));
            };
        auto body = co_await call_on<std::string>(executor, start);
        co_await exchange.reply(json_response(200, std::move(body)));
        co_return;
    }
    if (path == "/operator/drain" && request.method == "POST") {
        functions_.drain();
        co_await exchange.reply(json_response(202, R"({"status":"draining"})"));
        co_return;
    }
    if (path == "/operator/log-level" && request.method == "PUT") {
        co_await exchange.reply(change_log_level(request));
        co_return;
    }
    const api_error unknown{404, "unknown-path", "no such operator function"};
    co_await exchange.reply(error_response(unknown, std::string{}));
}

asio::awaitable<bool> operator_api::handle(http_exchange& exchange)
{
    const auto& request = exchange.request();
    if (!starts_with(request.target, prefix)) {
        co_return false;
    }
    if (!has_bearer_key(request, key_hash_)) {
        const api_error error{401, "unauthorized", "the operator key is missing or wrong"};
        co_await exchange.reply(error_response(error, std::string{}));
        co_return true;
    }
    co_await run(exchange);
    co_return true;
}

} // namespace almondline::entry
