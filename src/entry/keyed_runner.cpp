#include "entry/keyed_runner.h"

#include "common/log.h"
#include "entry/internal/call_on.h"
#include "entry/refusals.h"
#include "entry/request_runner.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace almondline::entry {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// Reports the outcome to the guard even if the run ends with an exception, because joined requests
/// wait for it. The outcome is then may_have_run.
class finish_guard {
public:
    finish_guard(key_guard& guard, const idempotency::keyed_request& request)
        : guard_{guard}, request_{request}
    {
    }
    ~finish_guard() { guard_.finish(request_, result); }
    finish_guard(const finish_guard&) = delete;
    finish_guard& operator=(const finish_guard&) = delete;

    idempotency::outcome result;

private:
    key_guard& guard_;
    const idempotency::keyed_request& request_;
};

http_response replay_response(const idempotency::outcome& recorded)
{
    constexpr int gone = 410;
    if (!recorded.is_body_kept) {
        const refusal reason{
            recorded.run, "answer-not-kept", "the answer is not kept any more", {}};
        return refusal_response(gone, reason, {});
    }
    http_response response;
    response.status = recorded.http_status;
    response.headers.push_back({"Content-Type", recorded.content_type});
    response.headers.push_back({"X-Verdict", std::string{to_string(recorded.run)}});
    response.headers.push_back({"Idempotent-Replay", "true"});
    response.body = recorded.body;
    return response;
}

} // namespace

keyed_runner::keyed_runner(traffic_context& context, key_guard& guard, std::string caller_address)
    : context_{context}, guard_{guard}, caller_address_{std::move(caller_address)}
{
}

std::string keyed_runner::mint_key(const std::string& /*account*/)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(guard_.key_lifetime());
    return json::serialize(json::object{{"idempotency_key", guard_.mint()},
                                        {"address", caller_address_},
                                        {"expires_in_seconds", seconds.count()}});
}

asio::awaitable<void> keyed_runner::refuse(const idempotency::admission& answer,
                                           const std::string& request_id, http_exchange& exchange)
{
    const int status = status_of_refusal(answer.reason.code);
    context_.metrics.add("almondline_refused_total", {{"reason", answer.reason.code},
                                                      {"verdict", to_string(answer.reason.run)}});
    log_event("entry", log_level::info, "key-refused",
              {{"request", request_id},
               {"code", answer.reason.code},
               {"verdict", to_string(answer.reason.run)}});
    auto response = refusal_response(status, answer.reason, request_id);
    if (!answer.redirect_address.empty()) {
        response.headers.push_back({"X-Use-Address", answer.redirect_address});
    }
    co_await exchange.reply(std::move(response));
}

asio::awaitable<void> keyed_runner::run(caller_request request, http_exchange& exchange)
{
    const idempotency::keyed_request keyed{request.account, request.idempotency_key,
                                           request.body_digest, request.request_id};
    const auto executor = co_await asio::this_coro::executor;
    const std::function<void(key_guard::admission_handler)> start =
        [this, &keyed](key_guard::admission_handler done) { guard_.admit(keyed, std::move(done)); };
    const auto answer = co_await call_on<idempotency::admission>(executor, start);
    if (answer.kind == idempotency::admission_kind::refuse) {
        co_await refuse(answer, request.request_id, exchange);
        co_return;
    }
    if (answer.kind == idempotency::admission_kind::respond) {
        co_await exchange.reply(replay_response(answer.response));
        co_return;
    }
    finish_guard finishing{guard_, keyed};
    const auto recorded = co_await run_request(context_, std::move(request), exchange);
    finishing.result.http_status = recorded.status;
    finishing.result.content_type = recorded.content_type;
    finishing.result.body = recorded.body;
    finishing.result.run = recorded.run;
}

} // namespace almondline::entry
