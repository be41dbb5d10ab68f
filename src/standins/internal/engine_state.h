#pragma once

#include "standins/engine_service.h"
#include "standins/internal/cache_log.h"
#include "standins/internal/chat.h"
#include "standins/internal/standin_server.h"
#include "standins/internal/wait_signal.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <set>
#include <unordered_map>

namespace almondline::standins {

/// Answer to one request, complete or still being generated.
struct stream_record {
    std::string id;
    std::string model;
    std::string digest;
    int tokens = 0; ///< generated so far
    int max_tokens = 0;
    bool is_cancelled = false;
    chat_usage usage;
    steady_time ended{};
    wait_signal changed;

    bool is_complete() const { return tokens >= max_tokens; }
};

struct load_sample {
    steady_time taken{};
    std::size_t running = 0;
    std::size_t waiting = 0;
    double kv_used_tokens = 0;
};

/// State of an engine stand-in.
struct engine_service::state : std::enable_shared_from_this<engine_service::state> {
    state(boost::asio::io_context& context, const clock_source& time_source,
          engine_options service_options);

    void run_tick();
    void apply(const step_result& result);
    void sample_load();
    void remove_old_streams();

    boost::asio::awaitable<void> handle(http_exchange& exchange);
    boost::asio::awaitable<void> handle_chat(http_exchange& exchange);
    boost::asio::awaitable<void> handle_stream(http_exchange& exchange, std::string id);
    boost::asio::awaitable<void> handle_other(http_exchange& exchange);
    boost::asio::awaitable<void> send_stream(http_exchange& exchange,
                                             std::shared_ptr<stream_record> record, int after);
    boost::asio::awaitable<void> send_plain(http_exchange& exchange,
                                            std::shared_ptr<stream_record> record);
    std::shared_ptr<stream_record> start_request(const std::string& id,
                                                 const chat_request& request);

    std::string refusal_cause(const http_request& request, const chat_request& chat);
    http_response cancel(const std::string& id);
    http_response load_report() const;
    /// Number of the model's requests that run or wait.
    int count_unfinished_requests(const std::string& name) const;
    http_response handle_order(const std::string& body);
    http_response handle_kv_block(const http_request& request, const std::string& name);
    http_response change_settings(const std::string& body);
    http_response describe() const;

    boost::asio::io_context& io;
    const clock_source& clock;
    engine_options options;
    engine_model model;
    cache_log events;
    std::unordered_map<std::string, std::shared_ptr<stream_record>> streams;
    std::deque<load_sample> samples;
    std::set<std::string> models;
    std::set<std::string> adapters;
    std::string role = "mixed";
    std::string version;
    std::int64_t highest_fencing = 0;
    std::uint64_t orders_taken = 0;
    std::uint64_t orders_refused = 0;
    bool serves_any_model = false; ///< no model was given at startup or loaded since
    bool is_leaving = false;
    bool is_stopped = false;
    steady_time last_tick{};
    boost::asio::steady_timer timer;
    standin_server server;
};

} // namespace almondline::standins
