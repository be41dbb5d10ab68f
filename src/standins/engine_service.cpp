#include "standins/engine_service.h"

#include "common/hash.h"
#include "common/json.h"
#include "common/log.h"
#include "standins/internal/engine_state.h"
#include "standins/internal/error_response.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <charconv>

namespace almondline::standins {

namespace asio = boost::asio;

namespace {

constexpr std::size_t max_cache_events = 4096;
constexpr std::string_view streams_prefix = "/v1/streams/";

http_response not_admitted(std::string_view message)
{
    auto response = error_response(503, message);
    response.headers.push_back({"X-Not-Admitted", "true"});
    response.headers.push_back({"Retry-After", "1"});
    return response;
}

std::string read_chat(const std::string& body, chat_request& request)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_ASSIGN(request, parse_chat_request(body));
            return std::string{};
        },
        [](const parse_error& e) { return e.where + ": " + e.message; },
        [] { return std::string{"the request could not be read"}; });
}

int parse_position(const std::string& text)
{
    int n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return std::max(n, 0);
}

} // namespace

engine_service::state::state(asio::io_context& context, const clock_source& time_source,
                             engine_options service_options)
    : io{context}, clock{time_source}, options{std::move(service_options)},
      models{options.models.begin(), options.models.end()}, timer{context},
      server{context, options.listen, time_source,
             [this](http_exchange& exchange) -> asio::awaitable<void> { return handle(exchange); }}
{
    serves_any_model = models.empty();
    model.speed = options.speed;
    model.cache.capacity = options.cache_blocks;
    events.lag = options.cache_event_lag;
    events.max_events = max_cache_events;
    events.gap_every = options.cache_event_gap_every;
    server.open_journal(options.journal_path);
    last_tick = clock.now();
    run_tick();
}

void engine_service::state::run_tick()
{
    const auto now = clock.now();
    const std::chrono::duration<double> passed = now - last_tick;
    last_tick = now;
    apply(advance(model, passed.count()));
    sample_load();
    timer.expires_after(options.tick);
    timer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec && !is_stopped) {
            run_tick();
        }
    });
}

void engine_service::state::apply(const step_result& result)
{
    append_changes(events, result.cache_changes, clock.now());
    for (const auto& it : result.progressed) {
        if (it.has_started) {
            note_run(server.requests(), it.id);
        }
        const auto found = streams.find(it.id);
        if (found == streams.end()) {
            continue;
        }
        auto& record = *found->second;
        record.tokens = std::max(record.tokens, it.tokens);
        record.usage.cached_tokens = static_cast<int>(it.cached_tokens);
        record.usage.completion_tokens = record.tokens;
        if (record.is_complete()) {
            record.ended = clock.now();
            ++entry_of(server.requests(), it.id).completed;
        }
        record.changed.notify();
    }
}

void engine_service::state::sample_load()
{
    constexpr std::chrono::milliseconds sample_interval{20};
    const auto now = clock.now();
    if (!samples.empty() && now - samples.back().taken < sample_interval) {
        return;
    }
    samples.push_back({now, model.running.size(), model.waiting.size(), kv_used_tokens(model)});
    while (samples.size() > 1 && now - samples[1].taken >= options.load_lag) {
        samples.pop_front();
    }
    remove_old_streams();
}

void engine_service::state::remove_old_streams()
{
    const auto oldest = clock.now() - options.stream_retention;
    std::erase_if(streams, [oldest](const auto& it) {
        return it.second->ended != steady_time{} && it.second->ended < oldest;
    });
}

std::shared_ptr<stream_record> engine_service::state::start_request(const std::string& id,
                                                                    const chat_request& request)
{
    // A second dispatch with the same id runs again, as in an engine that ignores request ids.
    cancel_sequence(model, id);
    auto record = std::make_shared<stream_record>();
    record->id = id;
    record->model = request.model;
    record->digest = content_digest(request);
    record->max_tokens = request.max_tokens;
    sequence next;
    next.id = id;
    next.blocks = hash_blocks(request.prompt);
    next.prompt_tokens = static_cast<double>(
        std::max<std::size_t>(1, (request.prompt.size() + chars_per_token - 1) / chars_per_token));
    next.max_tokens = request.max_tokens;
    record->usage.prompt_tokens = static_cast<int>(next.prompt_tokens);
    streams[id] = record;
    add_sequence(model, std::move(next));
    return record;
}

std::string engine_service::state::refusal_cause(const http_request& request,
                                                 const chat_request& chat)
{
    const auto path = target_path(request.target);
    if (consume_fault(server.faults(), fault_kind::refuse_admission, request.method, path,
                      clock.now())) {
        return "refused by a fault order";
    }
    if (model.waiting.size() >= options.max_waiting) {
        return "too many requests waiting";
    }
    if (!serves_any_model && models.count(chat.model) == 0) {
        return "model is not loaded";
    }
    return {};
}

asio::awaitable<void> engine_service::state::handle_chat(http_exchange& exchange)
{
    const auto& request = exchange.request();
    std::string id{find_header(request.headers, "X-Request-Id")};
    if (id.empty()) {
        id = random_id();
    }
    chat_request chat;
    const std::string message = read_chat(request.body, chat);
    const auto digest = message.empty() ? content_digest(chat) : sha256_hex(request.body);
    note_dispatch(server.requests(), id, digest, clock.wall());
    if (!message.empty()) {
        ++entry_of(server.requests(), id).refused;
        co_await exchange.reply(error_response(400, message));
        co_return;
    }
    const std::string cause = refusal_cause(request, chat);
    if (!cause.empty()) {
        ++entry_of(server.requests(), id).refused;
        co_await exchange.reply(not_admitted(cause));
        co_return;
    }
    const auto record = start_request(id, chat);
    if (chat.is_stream) {
        co_await send_stream(exchange, record, 0);
    }
    else {
        co_await send_plain(exchange, record);
    }
}

asio::awaitable<void> engine_service::state::send_plain(http_exchange& exchange,
                                                        std::shared_ptr<stream_record> record)
{
    while (!record->is_complete() && !record->is_cancelled) {
        co_await record->changed.wait_until(clock.now() + options.heartbeat);
    }
    if (record->is_cancelled) {
        exchange.abort();
        co_return;
    }
    const auto text = answer_text(record->digest, record->max_tokens);
    auto response =
        json_response(200, completion_json(record->id, record->model, text, record->usage));
    co_await exchange.reply(std::move(response));
}

asio::awaitable<void> engine_service::state::send_stream(http_exchange& exchange,
                                                         std::shared_ptr<stream_record> record,
                                                         int after)
{
    const std::vector<http_header> headers{{"Content-Type", "text/event-stream"},
                                           {"Cache-Control", "no-cache"}};
    bool is_open = co_await exchange.start_stream(200, headers);
    int next = after;
    auto last_write = clock.now();
    while (is_open && !record->is_cancelled) {
        if (next < record->tokens) {
            const auto text = answer_token(record->digest, next);
            const auto event = token_event(record->id, record->model, next, text);
            ++next;
            is_open = co_await exchange.write_chunk(event);
            last_write = clock.now();
        }
        else if (record->is_complete()) {
            break;
        }
        else if (clock.now() - last_write >= options.heartbeat) {
            is_open = co_await exchange.write_chunk(": keep-alive\n\n");
            last_write = clock.now();
        }
        else {
            co_await record->changed.wait_until(last_write + options.heartbeat);
        }
    }
    if (record->is_cancelled) {
        exchange.abort();
        co_return;
    }
    if (is_open && next <= record->max_tokens) {
        const auto event = usage_event(record->id, record->model, record->usage);
        is_open = co_await exchange.write_chunk(event);
    }
    if (is_open) {
        const auto event = done_event(record->usage);
        is_open = co_await exchange.write_chunk(event);
    }
    if (is_open) {
        co_await exchange.end_stream();
    }
}

http_response engine_service::state::cancel(const std::string& id)
{
    const auto it = streams.find(id);
    if (it == streams.end()) {
        return error_response(404, "no such stream");
    }
    const bool was_running = cancel_sequence(model, id);
    if (was_running) {
        ++entry_of(server.requests(), id).cancelled;
        it->second->is_cancelled = true;
        it->second->ended = clock.now();
        it->second->changed.notify();
    }
    return json_response(200, was_running ? R"({"cancelled":true})" : R"({"cancelled":false})");
}

asio::awaitable<void> engine_service::state::handle_stream(http_exchange& exchange, std::string id)
{
    const auto& request = exchange.request();
    if (request.method == "DELETE") {
        co_await exchange.reply(cancel(id));
        co_return;
    }
    const auto it = streams.find(id);
    if (it == streams.end() || it->second->is_cancelled) {
        co_await exchange.reply(error_response(404, "no such stream"));
        co_return;
    }
    ++entry_of(server.requests(), id).resumed;
    const int after = parse_position(query_parameter(request.target, "after"));
    co_await send_stream(exchange, it->second, after);
}

asio::awaitable<void> engine_service::state::handle(http_exchange& exchange)
{
    // Keeps the state alive while the request is handled, even if the service is destroyed.
    const auto self = shared_from_this();
    const std::string path{target_path(exchange.request().target)};
    if (path == "/v1/chat/completions" && exchange.request().method == "POST") {
        co_await handle_chat(exchange);
    }
    else if (path.starts_with(streams_prefix)) {
        co_await handle_stream(exchange, percent_decode(path.substr(streams_prefix.size())));
    }
    else {
        co_await handle_other(exchange);
    }
}

engine_service::engine_service(asio::io_context& io, const clock_source& clock,
                               engine_options options)
    : state_{std::make_shared<state>(io, clock, std::move(options))}
{
}

engine_service::~engine_service()
{
    stop();
}

std::uint16_t engine_service::port() const
{
    return state_->server.port();
}

void engine_service::stop()
{
    state_->is_stopped = true;
    state_->timer.cancel();
    state_->server.stop();
}

} // namespace almondline::standins
