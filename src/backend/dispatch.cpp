#include "backend/dispatch.h"

#include "common/log.h"
#include "http/client.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>

namespace almondline::backend {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds first_resume_delay{50};
constexpr std::chrono::milliseconds max_resume_delay{1'000};
constexpr std::string_view end_of_stream = "[DONE]";

std::chrono::milliseconds parse_retry_after(const http_response& response)
{
    const auto text = find_header(response.headers, "Retry-After");
    int seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return std::chrono::seconds{std::clamp(seconds, 0, 3600)};
}

asio::awaitable<void> sleep_for(std::chrono::milliseconds duration)
{
    asio::steady_timer timer{co_await asio::this_coro::executor, duration};
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

enum class read_end { done, broken, stopped };

/// A streaming completion that may span several connections.
class completion_stream {
public:
    completion_stream(target engine, std::string request_id, dispatch_limits limits,
                      const clock_source& clock, event_sink& sink)
        : engine_{std::move(engine)},
          request_id_{std::move(request_id)}, limits_{limits}, clock_{clock}, sink_{sink}
    {
    }

    asio::awaitable<dispatch_outcome> run(http_request request);

private:
    asio::awaitable<read_end> start(const http_request& request);
    asio::awaitable<read_end> resume();
    asio::awaitable<read_end> resume_once();
    asio::awaitable<read_end> read_events(http_connection& connection);
    asio::awaitable<read_end> forward_events(const std::vector<stream_event>& events);
    asio::awaitable<read_end> read_error(http_connection& connection);
    bool is_final() const { return is_refused_ || is_unknown_to_engine_; }

    target engine_;
    std::string request_id_;
    dispatch_limits limits_;
    const clock_source& clock_;
    event_sink& sink_;
    dispatch_outcome outcome_;
    completion_builder usage_reader_;
    std::uint64_t position_ = 0;
    bool is_written_ = false;
    bool is_refused_ = false;
    bool is_unknown_to_engine_ = false;
    bool can_resume_ = true;
    bool has_progress_ = false; // an event arrived since the last attempt to resume
};

asio::awaitable<dispatch_outcome> completion_stream::run(http_request request)
{
    auto end = co_await start(request);
    if (end == read_end::broken && is_written_ && !is_final() && can_resume_) {
        end = co_await resume();
    }
    outcome_.usage = usage_reader_.usage();
    if (end == read_end::done) {
        outcome_.end = dispatch_end::completed;
        outcome_.run = verdict::ran;
        outcome_.message.clear();
    }
    else if (end == read_end::stopped) {
        outcome_.end = dispatch_end::stopped;
        outcome_.run = verdict::may_have_run;
    }
    else if (is_written_ && !is_refused_) {
        outcome_.end = dispatch_end::broken;
        outcome_.run = verdict::may_have_run;
    }
    co_return outcome_;
}

asio::awaitable<read_end> completion_stream::start(const http_request& request)
{
    http_connection connection{co_await asio::this_coro::executor};
    outcome_.message = co_await connection.connect(engine_.address, limits_.connect);
    if (!outcome_.message.empty()) {
        co_return read_end::broken;
    }
    is_written_ = true;
    outcome_.message = co_await connection.write_request(request, limits_.write);
    if (!outcome_.message.empty()) {
        co_return read_end::broken;
    }
    outcome_.message = co_await read_final_header(connection, outcome_.response, limits_.silence);
    if (!outcome_.message.empty()) {
        co_return read_end::broken;
    }
    if (outcome_.response.status != 200) {
        co_return co_await read_error(connection);
    }
    co_return co_await read_events(connection);
}

asio::awaitable<read_end> completion_stream::read_error(http_connection& connection)
{
    is_refused_ = true;
    auto& body = outcome_.response.body;
    const auto failure = co_await read_body(connection, body, limits_.max_body, limits_.silence);
    outcome_.message = "status " + std::to_string(outcome_.response.status);
    outcome_.retry_after = parse_retry_after(outcome_.response);
    if (find_header(outcome_.response.headers, "X-Not-Admitted") == "true") {
        outcome_.end = dispatch_end::not_admitted;
        outcome_.run = verdict::not_run;
        co_return read_end::broken;
    }
    outcome_.end = dispatch_end::rejected;
    outcome_.run = verdict::may_have_run;
    if (!failure.empty()) {
        outcome_.end = dispatch_end::broken;
        outcome_.message += ", " + failure;
        body.clear();
    }
    co_return read_end::broken;
}

asio::awaitable<read_end> completion_stream::read_events(http_connection& connection)
{
    event_parser parser;
    std::vector<stream_event> events;
    bool is_done = false;
    while (!is_done) {
        std::string data;
        outcome_.message = co_await connection.read_some(data, is_done, limits_.silence);
        events.clear();
        if (!parser.parse(data, events)) {
            outcome_.message = "event longer than the limit";
            co_return read_end::broken;
        }
        if (events.empty() && !data.empty() && !co_await sink_.on_heartbeat()) {
            co_return read_end::stopped;
        }
        const auto end = co_await forward_events(events);
        if (end != read_end::broken) {
            co_return end;
        }
        if (!outcome_.message.empty()) {
            co_return read_end::broken;
        }
    }
    outcome_.message = "stream ended early";
    co_return read_end::broken;
}

/// Delivers events to the sink. Returns broken if the stream has not ended yet, or if an event is
/// missing, which then is reported in the outcome's message.
asio::awaitable<read_end> completion_stream::forward_events(const std::vector<stream_event>& events)
{
    for (const auto& it : events) {
        const bool is_end = it.data == end_of_stream;
        can_resume_ = can_resume_ && (it.id != 0 || is_end);
        const auto id = it.id != 0 ? it.id : position_ + 1;
        if (id <= position_) {
            continue;
        }
        if (id != position_ + 1) {
            outcome_.message = "event " + std::to_string(position_ + 1) + " is missing";
            co_return read_end::broken;
        }
        position_ = id;
        has_progress_ = true;
        if (outcome_.first_event == steady_time{}) {
            outcome_.first_event = clock_.now();
        }
        // Parsing every chunk would cost more than forwarding it, and only one contains the usage.
        if (!is_end && it.data.find("\"usage\"") != std::string::npos) {
            usage_reader_.add_chunk(it.data);
        }
        ++outcome_.events;
        if (!co_await sink_.on_event(it)) {
            co_return read_end::stopped;
        }
        if (is_end) {
            co_return read_end::done;
        }
    }
    co_return read_end::broken;
}

asio::awaitable<read_end> completion_stream::resume()
{
    auto resume_deadline = clock_.now() + limits_.resume_window;
    auto delay = first_resume_delay;
    while (clock_.now() < resume_deadline) {
        log_event("backend", log_level::info, "resume",
                  {{"request", request_id_},
                   {"backend", engine_.id},
                   {"after", position_},
                   {"cause", outcome_.message}});
        has_progress_ = false;
        const auto end = co_await resume_once();
        if (end != read_end::broken || is_final()) {
            co_return end;
        }
        if (has_progress_) {
            resume_deadline = clock_.now() + limits_.resume_window;
            delay = first_resume_delay;
        }
        co_await sleep_for(delay);
        delay = std::min(delay * 2, max_resume_delay);
    }
    co_return read_end::broken;
}

asio::awaitable<read_end> completion_stream::resume_once()
{
    http_connection connection{co_await asio::this_coro::executor};
    outcome_.message = co_await connection.connect(engine_.address, limits_.connect);
    if (!outcome_.message.empty()) {
        co_return read_end::broken;
    }
    http_request request;
    request.target =
        "/v1/streams/" + percent_encode(request_id_) + "?after=" + std::to_string(position_);
    outcome_.message = co_await connection.write_request(request, limits_.write);
    if (!outcome_.message.empty()) {
        co_return read_end::broken;
    }
    http_response header;
    outcome_.message = co_await read_final_header(connection, header, limits_.silence);
    if (!outcome_.message.empty()) {
        co_return read_end::broken;
    }
    if (header.status == 404) {
        is_unknown_to_engine_ = true;
        outcome_.message = "the engine does not know the stream";
        co_return read_end::broken;
    }
    if (header.status != 200) {
        outcome_.message = "resume: status " + std::to_string(header.status);
        co_return read_end::broken;
    }
    ++outcome_.resumes;
    co_return co_await read_events(connection);
}

} // namespace

std::string_view to_string(dispatch_end end)
{
    switch (end) {
    case dispatch_end::not_dispatched:
        return "not-dispatched";
    case dispatch_end::not_admitted:
        return "not-admitted";
    case dispatch_end::rejected:
        return "rejected";
    case dispatch_end::completed:
        return "completed";
    case dispatch_end::broken:
        return "broken";
    case dispatch_end::stopped:
        return "stopped";
    }
    return "broken";
}

asio::awaitable<dispatch_outcome> dispatch_completion(target engine, std::string request_id,
                                                      http_request request, dispatch_limits limits,
                                                      const clock_source& clock, event_sink& sink)
{
    completion_stream stream{std::move(engine), std::move(request_id), limits, clock, sink};
    co_return co_await stream.run(std::move(request));
}

asio::awaitable<dispatch_outcome> dispatch_call(target server, http_request request,
                                                dispatch_limits limits,
                                                std::chrono::milliseconds timeout)
{
    const http_timeouts timeouts{limits.connect, limits.write, timeout};
    auto result = co_await call_http(server.address, std::move(request), timeouts, limits.max_body);
    dispatch_outcome outcome;
    outcome.message = result.message;
    outcome.response = std::move(result.response);
    if (result.progress == http_progress::not_connected) {
        co_return outcome;
    }
    if (result.progress != http_progress::complete) {
        outcome.end = dispatch_end::broken;
        outcome.run = verdict::may_have_run;
        co_return outcome;
    }
    outcome.retry_after = parse_retry_after(outcome.response);
    if (find_header(outcome.response.headers, "X-Not-Admitted") == "true") {
        outcome.end = dispatch_end::not_admitted;
        outcome.message = "status " + std::to_string(outcome.response.status);
        co_return outcome;
    }
    outcome.end = dispatch_end::completed;
    outcome.run = verdict::ran;
    co_return outcome;
}

asio::awaitable<void> cancel_stream(target engine, std::string request_id, dispatch_limits limits)
{
    http_request request;
    request.method = "DELETE";
    request.target = "/v1/streams/" + percent_encode(request_id);
    const http_timeouts timeouts{limits.connect, limits.write, limits.silence};
    co_await call_http(engine.address, request, timeouts);
}

} // namespace almondline::backend
