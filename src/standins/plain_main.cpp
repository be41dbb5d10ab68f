#include "standins/internal/program.h"
#include "standins/plain_service.h"

#include <CLI/CLI.hpp>
#include <iostream>

using namespace almondline;

int main(int argc, char** argv)
{
    standins::plain_options options;
    std::string listen = "127.0.0.1:0";
    int work_ms = 5;
    CLI::App app{"Stand-in for a plain service, for tests and demonstrations only."};
    app.set_version_flag("--version", standins::version_text("standin-plain"));
    app.add_option("--listen", listen, "IP:PORT, port 0 for a free one")->capture_default_str();
    app.add_option("--work-ms", work_ms, "processing time of each call, ms")
        ->check(CLI::NonNegativeNumber)
        ->capture_default_str();
    app.add_option("--journal", options.journal_path,
                   "file to which a line is appended for each dispatch and run");
    CLI11_PARSE(app, argc, argv);

    if (!parse_endpoint(listen, options.listen)) {
        std::cerr << "--listen: \"" << listen << "\" is not IP:PORT\n";
        return 2;
    }
    options.work = std::chrono::milliseconds{work_ms};
    const system_clock_source clock;
    boost::asio::io_context io{1};
    try {
        standins::plain_service service{io, clock, options};
        return standins::run_program(io, options.listen, service.port(), [&] { service.stop(); });
    }
    catch (const std::exception& e) {
        std::cerr << "standin-plain: " << e.what() << "\n";
        return 1;
    }
}
