#include "entry/caller_api.h"

#include "common/hash.h"
#include "common/log.h"
#include "entry/refusals.h"
#include "entry/request_parser.h"
#include "entry/request_runner.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <variant>

namespace almondline::entry {

namespace asio = boost::asio;
namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

constexpr std::chrono::milliseconds retry_after_not_ready{1'000};

using parse_outcome = std::variant<caller_request, api_error>;

parse_outcome parse_caller_request(const http_request& request, bool is_completion,
                                   const manifest_snapshot& current)
{
    const auto* account = authenticate(current, request);
    if (account == nullptr) {
        return api_error{401, "unauthorized", "the bearer key is missing or unknown"};
    }
    return leaf::try_handle_all(
        [&]() -> leaf::result<parse_outcome> {
            BOOST_LEAF_AUTO(parsed, is_completion
                                        ? parse_completion(request, *current.content, *account)
                                        : parse_service_call(request, *current.content, *account));
            return parse_outcome{std::move(parsed)};
        },
        [](const api_error& e) { return parse_outcome{e}; },
        [] {
            return parse_outcome{api_error{400, "bad-request", "the request is malformed"}};
        });
}

} // namespace

caller_api::caller_api(traffic_context& context, keyed_request_runner& keyed,
                       address_source addresses, std::chrono::milliseconds address_lifetime)
    : context_{context}, keyed_{keyed}, addresses_{std::move(addresses)}, address_lifetime_{
                                                                              address_lifetime}
{
}

http_response caller_api::list_addresses() const
{
    json::array list;
    for (const auto& it : addresses_()) {
        list.push_back(
            json::object{{"address", it.address}, {"failure_domain", it.failure_domain}});
    }
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(address_lifetime_);
    return json_response(200, json::serialize(json::object{{"addresses", list},
                                                           {"lifetime_seconds", seconds.count()}}));
}

http_response caller_api::mint_idempotency_key(const http_request& request)
{
    const auto current = context_.manifests.snapshot();
    if (current == nullptr || context_.is_draining) {
        const refusal reason{verdict::not_run, "not-ready", "this instance takes no new requests",
                             retry_after_not_ready};
        return refusal_response(503, reason, std::string{});
    }
    const auto* account = authenticate(*current, request);
    if (account == nullptr) {
        return error_response({401, "unauthorized", "the bearer key is missing or unknown"}, {});
    }
    return json_response(200, keyed_.mint_key(account->name));
}

asio::awaitable<void> caller_api::handle_caller_request(http_exchange& exchange, bool is_completion)
{
    const auto request_id = random_id();
    const auto current = context_.manifests.snapshot();
    if (current == nullptr || context_.is_draining) {
        const refusal reason{verdict::not_run, context_.is_draining ? "draining" : "not-ready",
                             "this instance takes no new requests; use another address",
                             retry_after_not_ready};
        count_refusal(reason.code);
        co_await exchange.reply(refusal_response(503, reason, request_id));
        co_return;
    }
    auto parsed = parse_caller_request(exchange.request(), is_completion, *current);
    if (const auto* error = std::get_if<api_error>(&parsed)) {
        count_refusal(error->code);
        log_event("entry", log_level::info, "refused",
                  {{"request", request_id}, {"status", error->status}, {"code", error->code}});
        co_await exchange.reply(error_response(*error, request_id));
        co_return;
    }
    auto request = std::get<caller_request>(std::move(parsed));
    request.request_id = request_id;
    if (request.idempotency_key.empty()) {
        co_await run_request(context_, std::move(request), exchange);
        co_return;
    }
    co_await keyed_.run(std::move(request), exchange);
}

void caller_api::count_refusal(std::string_view code)
{
    context_.metrics.add("almondline_refused_total", {{"reason", code}, {"verdict", "not-run"}});
}

asio::awaitable<bool> caller_api::handle(http_exchange& exchange)
{
    const auto& request = exchange.request();
    const auto path = target_path(request.target);
    if (path == "/v1/chat/completions" && request.method == "POST") {
        co_await handle_caller_request(exchange, true);
        co_return true;
    }
    if (path.substr(0, 10) == "/services/") {
        co_await handle_caller_request(exchange, false);
        co_return true;
    }
    if (path == "/v1/addresses" && request.method == "GET") {
        co_await exchange.reply(list_addresses());
        co_return true;
    }
    if (path == "/v1/identities" && request.method == "POST") {
        co_await exchange.reply(mint_idempotency_key(request));
        co_return true;
    }
    if (path == "/healthz") {
        co_await exchange.reply(json_response(200, "{\"status\":\"ok\"}"));
        co_return true;
    }
    if (path == "/readyz") {
        const bool is_ready = context_.manifests.snapshot() != nullptr && !context_.is_draining;
        const std::string body = is_ready ? "{\"status\":\"ready\"}" : "{\"status\":\"not ready\"}";
        co_await exchange.reply(json_response(is_ready ? 200 : 503, body));
        co_return true;
    }
    co_return false;
}

} // namespace almondline::entry
