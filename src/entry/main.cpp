#include "common/log.h"
#include "common/program_options.h"
#include "entry/caller_api.h"
#include "entry/control_plane.h"
#include "entry/entry_settings.h"
#include "entry/keyed_runner.h"
#include "entry/operator_api.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <iostream>
#include <optional>
#include <thread>

using namespace almondline;
using namespace almondline::entry;
namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds drain_check_interval{20};

/// The entry process: control thread, traffic threads, HTTP server and shutdown.
class entry_process {
public:
    explicit entry_process(const entry_settings& settings)
        : settings_{settings}, control_{control_io_, settings, clock_, metrics_},
          context_{clock_,
                   control_,
                   control_,
                   control_,
                   metrics_,
                   lengths_,
                   retries_,
                   limits(),
                   settings.failure_domain,
                   settings.instance_id,
                   is_draining_},
          keyed_{context_, control_, settings.caller_address},
          callers_{context_, keyed_, [this] { return control_.addresses(); },
                   settings.address_lifetime},
          operators_{settings.operator_key_hash, functions()},
          server_{traffic_io_, settings.listen, server_limits(),
                  [this](http_exchange& exchange) { return handle(exchange); },
                  settings.credentials},
          signals_{control_io_, SIGTERM, SIGINT}, drain_timer_{control_io_}
    {
    }

    void run();

private:
    backend::dispatch_limits limits() const;
    http_server_limits server_limits() const;
    operator_functions functions();
    asio::awaitable<void> handle(http_exchange& exchange);
    void start_drain();
    void check_drained();
    void stop();

    entry_settings settings_;
    system_clock_source clock_;
    metrics_registry metrics_;
    length_estimator lengths_;
    retry_budget retries_;
    std::atomic<bool> is_draining_{false};
    steady_time drain_started_{};
    asio::io_context control_io_{1};
    asio::io_context traffic_io_;
    control_plane control_;
    traffic_context context_;
    keyed_runner keyed_;
    caller_api callers_;
    operator_api operators_;
    http_server server_;
    asio::signal_set signals_;
    asio::steady_timer drain_timer_;
};

backend::dispatch_limits entry_process::limits() const
{
    backend::dispatch_limits out;
    out.connect = settings_.connect_timeout;
    out.silence = settings_.stream_silence;
    out.resume_window = settings_.resume_window;
    return out;
}

http_server_limits entry_process::server_limits() const
{
    http_server_limits out;
    out.max_connections = settings_.max_connections;
    out.max_body_bytes = settings_.max_body_bytes;
    out.max_total_body_bytes = settings_.max_total_body_bytes;
    return out;
}

operator_functions entry_process::functions()
{
    operator_functions out;
    out.status = [this](operator_functions::deliver done) { control_.status(std::move(done)); };
    out.explain = [this](std::string id, operator_functions::deliver done) {
        control_.explain(std::move(id), std::move(done));
    };
    out.drain = [this] { asio::post(control_io_, [this] { start_drain(); }); };
    return out;
}

asio::awaitable<void> entry_process::handle(http_exchange& exchange)
{
    if (co_await callers_.handle(exchange) || co_await operators_.handle(exchange)) {
        co_return;
    }
    if (target_path(exchange.request().target) == "/metrics") {
        http_response response;
        response.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
        response.body = metrics_.render();
        co_await exchange.reply(std::move(response));
        co_return;
    }
    co_await exchange.reply(json_response(404, R"({"error":{"code":"unknown-path"}})"));
}

void entry_process::start_drain()
{
    if (is_draining_.exchange(true)) {
        return;
    }
    drain_started_ = clock_.now();
    control_.start_drain();
    log_event("entry", log_level::info, "drain-started",
              {{"in_progress", server_.requests_in_progress()}});
    check_drained();
}

void entry_process::check_drained()
{
    const auto elapsed = clock_.now() - drain_started_;
    const auto remaining = server_.requests_in_progress();
    if ((remaining == 0 && elapsed >= settings_.drain_grace) || elapsed >= settings_.drain_limit) {
        log_event("entry", remaining == 0 ? log_level::info : log_level::warning, "drain-ended",
                  {{"interrupted", remaining}});
        stop();
        return;
    }
    drain_timer_.expires_after(drain_check_interval);
    drain_timer_.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            check_drained();
        }
    });
}

void entry_process::stop()
{
    server_.stop_accepting();
    traffic_io_.stop();
    control_io_.stop();
}

void entry_process::run()
{
    signals_.async_wait([this](boost::system::error_code ec, int) {
        if (!ec) {
            start_drain();
        }
    });
    if (!settings_.peer_credentials) {
        log_event("entry", log_level::warning, "peers-unencrypted",
                  {{"reason", "section peer_tls has no certificate"}});
    }
    control_.start();
    const auto work_guard = asio::make_work_guard(traffic_io_);
    std::vector<std::jthread> threads;
    threads.reserve(static_cast<std::size_t>(settings_.traffic_threads));
    for (int i = 0; i < settings_.traffic_threads; ++i) {
        threads.emplace_back([this] { traffic_io_.run(); });
    }
    log_event("entry", log_level::info, "started",
              {{"listen", settings_.listen.port}, {"version", ALMONDLINE_VERSION}});
    control_io_.run();
}

} // namespace

int main(int argc, char** argv)
{
    program_options options;
    const auto exit_code =
        parse_program_options(argc, argv, "Entry instance of the almondline request scheduler",
                              entry_setting_specs(), options);
    if (exit_code) {
        return *exit_code;
    }
    const auto& path = options.config_path;
    auto settings = load_or_report(load_entry_settings, path);
    if (!settings) {
        return exit_settings;
    }
    const system_clock_source clock;
    const auto error = load_credentials(*settings, clock);
    if (!error.empty()) {
        std::cerr << path << ": " << error << '\n';
        return exit_settings;
    }
    if (options.is_check_only) {
        std::cout << path << ": ok\n";
        return 0;
    }
    log_level level{};
    parse_log_level(settings->log_level, level);
    set_log_level("*", level);
    set_log_instance(settings->instance_id);
    try {
        entry_process process{*settings};
        process.run();
    }
    catch (const boost::system::system_error& e) {
        std::cerr << path << ": cannot listen: " << e.what() << '\n';
        return exit_bind;
    }
    return 0;
}
