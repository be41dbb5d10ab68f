#include "gateway/internal/attempt_sending.h"

#include "gateway/internal/held_response.h"
#include "gateway/internal/request_flow_state.h"
#include "gateway/internal/request_times.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <utility>

namespace almondline::gateway {

namespace asio = boost::asio;
using namespace asio::experimental::awaitable_operators;

namespace {

dispatch_metadata make_metadata(const request_flow& flow, const server_attempt& attempt)
{
    dispatch_metadata out;
    out.backend_id = attempt.credit.backend_id;
    out.account = account_name(flow.request);
    out.time_left = time_left(flow.request, flow.context.clock.now());
    if (has_started(flow.answer)) {
        out.resume_after = flow.answer.last_event_id;
    }
    return out;
}

asio::awaitable<std::string> write_request(const request_flow& flow, server_attempt& attempt)
{
    const auto& context = flow.context;
    const auto& received = flow.request.received;
    const auto head = context.protocol.encode(received, make_metadata(flow, attempt));
    const auto timeout = io_timeout(flow.request, context.limits, context.clock.now());
    auto error = co_await attempt.connection->write_request(head, received.message.body, timeout);
    if (error.empty()) {
        attempt.sent = transfer::complete;
    }
    co_return error;
}

/// Passes on what the server of an attempt reports about itself in a response header.
void handle_notice(gateway_context& context, server_attempt& attempt, const server_notice& notice,
                   reply_kind kind)
{
    attempt.is_server_leaving = attempt.is_server_leaving || notice.is_leaving;
    context.on_notice(attempt.credit.backend_id, notice);
    // Only a usable response to this request shows that the server no longer advertises a rate.
    const bool is_own_response = kind != reply_kind::mismatched && kind != reply_kind::invalid;
    if (is_own_response || notice.max_request_rate) {
        context.credits.note_server(attempt.credit.request_id,
                                    {notice.is_leaving, notice.max_request_rate});
    }
}

/// Reads and drops the body of a response to another request. Returns an error if there was one.
asio::awaitable<std::string> skip_body(const gateway_context& context, const request_state& request,
                                       server_attempt& attempt)
{
    std::size_t skipped = 0;
    bool is_done = false;
    while (!is_done && skipped <= context.limits.max_response_body) {
        std::string unused;
        const auto timeout = io_timeout(request, context.limits, context.clock.now());
        auto error = co_await attempt.connection->read_some(unused, is_done, timeout);
        if (!error.empty()) {
            co_return error;
        }
        skipped += unused.size();
    }
    co_return std::string{};
}

/// Reads response headers until one belongs to this request, because a late response to an earlier
/// request on the connection may come first.
asio::awaitable<std::string> read_matching_header(gateway_context& context,
                                                  const request_state& request,
                                                  server_attempt& attempt)
{
    auto& response = attempt.response;
    for (int i = 0; i < context.limits.max_mismatched_responses; ++i) {
        response = {};
        const auto timeout = io_timeout(request, context.limits, context.clock.now());
        auto error = co_await attempt.connection->read_header(response, timeout);
        if (!error.empty()) {
            co_return error;
        }
        const auto kind = context.protocol.classify(request.received, response);
        handle_notice(context, attempt, context.protocol.read_notice(response), kind);
        if (kind != reply_kind::mismatched) {
            co_return std::string{};
        }
        error = co_await skip_body(context, request, attempt);
        if (!error.empty()) {
            co_return error;
        }
    }
    co_return "received only responses to other requests";
}

asio::awaitable<std::string> read_header_and_stop_writing(request_flow& flow,
                                                          server_attempt& attempt)
{
    auto error = co_await read_matching_header(flow.context, flow.request, attempt);
    if (attempt.sent != transfer::complete) {
        attempt.connection->stop_writing();
    }
    co_return error;
}

/// Sends a long body while reading the response. A server that answers early may never read the
/// rest of the body; the connection is not reused then.
asio::awaitable<std::string> write_while_reading(request_flow& flow, server_attempt& attempt)
{
    const auto [write_error, read_error] =
        co_await (write_request(flow, attempt) && read_header_and_stop_writing(flow, attempt));
    co_return read_error;
}

} // namespace

asio::awaitable<bool> send_request(request_flow& flow, server_attempt& attempt)
{
    const auto& limits = flow.context.limits;
    attempt.sent = transfer::begun;
    ++flow.attempts.servers_reached;
    const auto now = flow.context.clock.now();
    flow.attempts.first_sent = flow.attempts.first_sent.value_or(now);
    attempt.last_progress = now;
    std::string error;
    if (flow.request.received.message.body.size() > limits.max_body_sent_before_reading) {
        error = co_await write_while_reading(flow, attempt);
    }
    else {
        error = co_await write_request(flow, attempt);
        if (error.empty()) {
            error = co_await read_matching_header(flow.context, flow.request, attempt);
        }
    }
    if (error.empty()) {
        co_return true;
    }
    flow.attempts.may_have_run = true;
    break_off(attempt, std::move(error));
    co_return false;
}

} // namespace almondline::gateway
