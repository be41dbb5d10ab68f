#include "entry/internal/answer_sink.h"

#include "entry/refusals.h"

namespace almondline::entry {

namespace asio = boost::asio;

namespace {

constexpr std::string_view end_of_stream = "[DONE]";

} // namespace

answer_sink::answer_sink(traffic_context& context, const caller_request& request,
                         http_exchange& exchange)
    : context_{context}, request_{request}, exchange_{exchange}
{
}

std::string answer_sink::content_type() const
{
    return request_.is_stream ? "text/event-stream" : "application/json";
}

void answer_sink::observe_event_interval()
{
    const auto now = context_.clock.now();
    if (last_event_ != steady_time{}) {
        context_.metrics.observe("almondline_between_tokens_seconds",
                                 {{"tier", request_.tier_name}}, now - last_event_);
    }
    last_event_ = now;
}

asio::awaitable<void> answer_sink::send(const std::string& text)
{
    if (!request_.idempotency_key.empty()) {
        recorded_ += text;
    }
    if (is_caller_gone_) {
        co_return;
    }
    if (!is_started_) {
        is_started_ = true;
        std::vector<http_header> headers;
        headers.push_back({"Content-Type", content_type()});
        headers.push_back({"Cache-Control", "no-store"});
        headers.push_back({"X-Request-Id", request_.request_id});
        is_caller_gone_ = !co_await exchange_.start_stream(200, headers);
    }
    if (!is_caller_gone_) {
        is_caller_gone_ = !co_await exchange_.write_chunk(text);
    }
}

asio::awaitable<bool> answer_sink::on_event(const backend::stream_event& event)
{
    const bool is_end = event.data == end_of_stream;
    if (!is_end) {
        observe_event_interval();
    }
    if (request_.is_stream) {
        const auto text = backend::format_event(event);
        co_await send(text);
    }
    else if (!is_end) {
        builder_.add_chunk(event.data);
    }
    // A request that is not idempotent continues without its caller, who can retrieve the outcome
    // later if the request has an idempotency key.
    co_return !is_caller_gone_ || !request_.is_idempotent;
}

asio::awaitable<bool> answer_sink::on_heartbeat()
{
    if (is_started_ && !is_caller_gone_) {
        is_caller_gone_ = !co_await exchange_.write_chunk(": keep-alive\n\n");
    }
    co_return !is_caller_gone_ || !request_.is_idempotent;
}

asio::awaitable<void> answer_sink::finish()
{
    if (request_.is_stream) {
        if (!is_caller_gone_) {
            co_await exchange_.end_stream();
        }
        co_return;
    }
    auto response = json_response(200, builder_.build());
    response.headers.push_back({"X-Verdict", "ran"});
    response.headers.push_back({"X-Request-Id", request_.request_id});
    if (!request_.idempotency_key.empty()) {
        recorded_ = response.body;
    }
    co_await exchange_.reply(response);
}

asio::awaitable<bool> answer_sink::abort_response(const refusal& reason)
{
    if (!is_started_) {
        co_return false;
    }
    if (!is_caller_gone_) {
        const backend::stream_event event{0, error_body(reason, request_.request_id)};
        const auto text = "event: error\n" + backend::format_event(event);
        co_await exchange_.write_chunk(text);
    }
    // The final chunk is not sent, so that no caller mistakes a truncated response for a whole one.
    exchange_.abort();
    co_return true;
}

} // namespace almondline::entry
