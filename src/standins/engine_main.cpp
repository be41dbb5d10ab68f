#include "standins/engine_service.h"
#include "standins/internal/program.h"

#include <CLI/CLI.hpp>
#include <iostream>

using namespace almondline;

int main(int argc, char** argv)
{
    standins::engine_options options;
    std::string listen = "127.0.0.1:0";
    int load_lag_ms = 0;
    int cache_event_lag_ms = 0;
    int tick_ms = 2;
    bool ignores_fencing = false;
    CLI::App app{"Stand-in for a model engine, for tests and demonstrations only."};
    app.set_version_flag("--version", standins::version_text("standin-engine"));
    app.add_option("--listen", listen, "IP:PORT, port 0 for a free one")->capture_default_str();
    app.add_option("--model", options.models, "loaded model, may be repeated; default: any model");
    app.add_option("--prefill-rate", options.speed.prefill_rate, "prompt tokens/s")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--decode-rate", options.speed.decode_rate,
                   "tokens/s of a stream that runs alone")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--decode-interference", options.speed.decode_interference,
                   "relative slowdown per additional stream")
        ->check(CLI::NonNegativeNumber)
        ->capture_default_str();
    app.add_option("--time-scale", options.speed.time_scale,
                   "multiplies the prefill and decode rates")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--slow-factor", options.speed.slow_factor,
                   "divides the prefill and decode rates")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--max-running", options.speed.max_running,
                   "maximum number of sequences in the batch")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--max-waiting", options.max_waiting,
                   "limit of the queue; further requests are refused")
        ->capture_default_str();
    app.add_option("--kv-tokens", options.speed.kv_capacity_tokens, "KV cache capacity in tokens")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--cache-blocks", options.cache_blocks,
                   "prefix cache size, in blocks of 64 characters")
        ->capture_default_str();
    app.add_option("--load-lag-ms", load_lag_ms, "age of load reports, ms")->capture_default_str();
    app.add_option("--cache-event-lag-ms", cache_event_lag_ms, "delay of cache events, ms")
        ->capture_default_str();
    app.add_option("--cache-event-gap-every", options.cache_event_gap_every,
                   "cache events between two gaps, 0: no gaps")
        ->capture_default_str();
    app.add_option("--tick-ms", tick_ms, "interval between batch steps, ms")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_flag("--ignore-fencing", ignores_fencing, "accept outdated fencing tokens");
    app.add_option("--journal", options.journal_path,
                   "file to which a line is appended for each dispatch, run and order");
    CLI11_PARSE(app, argc, argv);

    if (!parse_endpoint(listen, options.listen)) {
        std::cerr << "--listen: \"" << listen << "\" is not IP:PORT\n";
        return 2;
    }
    options.load_lag = std::chrono::milliseconds{load_lag_ms};
    options.cache_event_lag = std::chrono::milliseconds{cache_event_lag_ms};
    options.tick = std::chrono::milliseconds{tick_ms};
    options.checks_fencing = !ignores_fencing;
    const system_clock_source clock;
    boost::asio::io_context io{1};
    try {
        standins::engine_service engine{io, clock, options};
        return standins::run_program(io, options.listen, engine.port(), [&] { engine.stop(); });
    }
    catch (const std::exception& e) {
        std::cerr << "standin-engine: " << e.what() << "\n";
        return 1;
    }
}
