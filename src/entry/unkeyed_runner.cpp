#include "entry/unkeyed_runner.h"

#include "entry/refusals.h"

namespace almondline::entry {

boost::asio::awaitable<void> unkeyed_runner::run(caller_request request, http_exchange& exchange)
{
    const refusal why{verdict::not_run, "keys-unavailable", "idempotency keys can't be claimed now",
                      std::chrono::milliseconds{1'000}};
    context_.metrics.add("almondline_refused_total",
                         {{"reason", why.code}, {"verdict", "not-run"}});
    co_await exchange.reply(refusal_response(503, why, request.request_id));
}

std::string unkeyed_runner::mint_key(const std::string& /*account*/)
{
    return R"({"error":{"code":"keys-unavailable","verdict":"not-run"}})";
}

} // namespace almondline::entry
