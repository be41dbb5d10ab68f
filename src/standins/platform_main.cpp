#include "standins/internal/program.h"
#include "standins/platform_service.h"

#include <CLI/CLI.hpp>
#include <iostream>

using namespace almondline;

int main(int argc, char** argv)
{
    standins::platform_options options;
    std::string listen = "127.0.0.1:0";
    int list_lag_ms = 0;
    int slowness_ms = 0;
    CLI::App app{"Stand-in for the platform (key-value service, instance list, weight store), for "
                 "tests and demonstrations only."};
    app.set_version_flag("--version", standins::version_text("standin-platform"));
    app.add_option("--listen", listen, "IP:PORT, port 0 for a free one")->capture_default_str();
    app.add_option("--writes-per-second", options.writes_per_second, "rate limit, 0: none")
        ->check(CLI::NonNegativeNumber)
        ->capture_default_str();
    app.add_option("--reads-per-second", options.reads_per_second, "rate limit, 0: none")
        ->check(CLI::NonNegativeNumber)
        ->capture_default_str();
    app.add_option("--weights-per-second", options.weights_per_second, "rate limit, 0: none")
        ->check(CLI::NonNegativeNumber)
        ->capture_default_str();
    app.add_option("--weight-bytes", options.weight_bytes, "size of each file in the weight store")
        ->capture_default_str();
    app.add_option("--list-lag-ms", list_lag_ms,
                   "delay until a change of the instance list shows, ms")
        ->check(CLI::NonNegativeNumber)
        ->capture_default_str();
    app.add_option("--slowness-ms", slowness_ms, "delay of each call to the key-value service, ms")
        ->check(CLI::NonNegativeNumber)
        ->capture_default_str();
    CLI11_PARSE(app, argc, argv);

    if (!parse_endpoint(listen, options.listen)) {
        std::cerr << "--listen: \"" << listen << "\" is not IP:PORT\n";
        return 2;
    }
    options.list_lag = std::chrono::milliseconds{list_lag_ms};
    options.slowness = std::chrono::milliseconds{slowness_ms};
    const system_clock_source clock;
    boost::asio::io_context io{1};
    try {
        standins::platform_service platform{io, clock, options};
        return standins::run_program(io, options.listen, platform.port(), [&] { platform.stop(); });
    }
    catch (const std::exception& e) {
        std::cerr << "standin-platform: " << e.what() << "\n";
        return 1;
    }
}
