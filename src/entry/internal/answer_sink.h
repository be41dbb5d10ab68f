#pragma once

#include "backend/dispatch.h"
#include "entry/traffic_context.h"
#include "entry/types/caller_request.h"
#include "http/server.h"

#include <string>

namespace almondline::entry {

/// Forwards the events of an engine to the caller, as a stream or joined into one JSON response.
class answer_sink final : public backend::event_sink {
public:
    answer_sink(traffic_context& context, const caller_request& request, http_exchange& exchange);

    boost::asio::awaitable<bool> on_event(const backend::stream_event& event) override;
    boost::asio::awaitable<bool> on_heartbeat() override;

    /// Completes the response: ends the stream, or sends the joined response.
    boost::asio::awaitable<void> finish();
    /// Aborts an incomplete response; a stream first gets an error event. Returns false if nothing
    /// was sent yet, so that a response with a status can still be sent.
    boost::asio::awaitable<bool> abort_response(const refusal& reason);

    bool is_started() const { return is_started_; }
    bool is_caller_gone() const { return is_caller_gone_; }
    /// Body of the response so far, including text that a disconnected caller did not receive.
    /// Empty if the request has no idempotency key.
    const std::string& recorded_body() const { return recorded_; }
    std::string content_type() const;

private:
    boost::asio::awaitable<void> send(const std::string& text);
    void observe_event_interval();

    traffic_context& context_;
    const caller_request& request_;
    http_exchange& exchange_;
    backend::completion_builder builder_;
    std::string recorded_;
    steady_time last_event_{};
    bool is_started_ = false;
    bool is_caller_gone_ = false;
};

} // namespace almondline::entry
