#include "bench/internal/overhead.h"

#include "http/client.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/this_coro.hpp>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <unistd.h>

namespace almondline::bench {

namespace asio = boost::asio;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::chrono::milliseconds call_timeout{30'000};

struct sample {
    double first_byte_ms = 0;
    double whole_ms = 0;
    std::size_t bytes = 0;
    bool is_complete = false;
};

/// Address and bearer key of calls.
struct destination {
    std::string name;
    ip_endpoint address;
    std::string key;
    int pid = 0;      ///< 0: processor time is not measured
    std::string path; ///< of a plain service; empty: chat completions
};

double ms_since(steady::time_point start)
{
    return std::chrono::duration<double, std::milli>(steady::now() - start).count();
}

http_request make_request(const destination& to, const std::string& model, int tokens, int number)
{
    http_request request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.headers.push_back({"Content-Type", "application/json"});
    request.headers.push_back(
        {"X-Request-Id", "overhead-" + std::to_string(getpid()) + "-" + std::to_string(number)});
    if (!to.key.empty()) {
        request.headers.push_back({"Authorization", "Bearer " + to.key});
    }
    if (!to.path.empty()) {
        request.method = "GET";
        request.target = to.path;
        return request;
    }
    request.body = R"({"model":")" + model + R"(","stream":true,"max_tokens":)" +
                   std::to_string(tokens) +
                   R"(,"messages":[{"role":"user","content":"How long does a call take?"}]})";
    return request;
}

asio::awaitable<sample> call(destination to, http_request request)
{
    sample out;
    const auto start = steady::now();
    http_connection connection{co_await asio::this_coro::executor};
    auto failure = co_await connection.connect(to.address, call_timeout);
    if (failure.empty()) {
        failure = co_await connection.write_request(request, call_timeout);
    }
    http_response response;
    if (failure.empty()) {
        failure = co_await read_final_header(connection, response, call_timeout);
    }
    std::string body;
    bool is_done = false;
    while (failure.empty() && !is_done) {
        failure = co_await connection.read_some(body, is_done, call_timeout);
        if (out.first_byte_ms == 0 && !body.empty()) {
            out.first_byte_ms = ms_since(start);
        }
    }
    out.whole_ms = ms_since(start);
    out.bytes = body.size();
    const bool has_end = !to.path.empty() || body.find("[DONE]") != body.npos;
    out.is_complete = failure.empty() && response.status == 200 && has_end;
    co_return out;
}

/// Returns the user and system time of a process in ms, or 0 if it can't be read.
double processor_ms(int pid)
{
    std::ifstream in{"/proc/" + std::to_string(pid) + "/stat"};
    std::string text;
    std::getline(in, text);
    const auto end = text.rfind(')');
    unsigned long user = 0;
    unsigned long system = 0;
    if (end == text.npos ||
        std::sscanf(text.c_str() + end + 1, " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
                    &user, &system) != 2) {
        return 0;
    }
    return 1000.0 * static_cast<double>(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double quantile(std::vector<double> values, double q)
{
    std::sort(values.begin(), values.end());
    const auto n = static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
    return values[n];
}

struct call_results {
    std::vector<double> first_byte_ms;
    std::vector<double> whole_ms;
    double processor = 0; ///< ms, sum over all calls
    int failed = 0;
};

void add(call_results& results, const sample& result)
{
    results.first_byte_ms.push_back(result.first_byte_ms);
    results.whole_ms.push_back(result.whole_ms);
    results.failed += result.is_complete ? 0 : 1;
}

asio::awaitable<void> alternate_calls(const std::vector<destination>& targets,
                                      const overhead_options& options,
                                      std::vector<call_results>& results)
{
    int number = 0;
    for (int i = 0; i < options.calls; ++i) {
        for (std::size_t n = 0; n < targets.size(); ++n) {
            auto request = make_request(targets[n], options.model, 1, ++number);
            const double before = processor_ms(targets[n].pid);
            const auto result = co_await call(targets[n], std::move(request));
            results[n].processor += processor_ms(targets[n].pid) - before;
            add(results[n], result);
        }
    }
}

void print_calls(const std::vector<destination>& targets, const std::vector<call_results>& results,
                 int calls)
{
    std::printf("| calls to | first byte median ms | p99 ms | whole answer median ms | p99 ms | "
                "added median ms | ratio median | ratio p99 | processor ms a call | failed |\n"
                "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    const double base = quantile(results[0].whole_ms, 0.5);
    const double base_p99 = quantile(results[0].whole_ms, 0.99);
    for (std::size_t n = 0; n < targets.size(); ++n) {
        const auto& it = results[n];
        const double median = quantile(it.whole_ms, 0.5);
        const double p99 = quantile(it.whole_ms, 0.99);
        std::printf("| %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.2f | %.2f | %.3f | %d |\n",
                    targets[n].name.c_str(), quantile(it.first_byte_ms, 0.5),
                    quantile(it.first_byte_ms, 0.99), median, p99, median - base, median / base,
                    p99 / base_p99, it.processor / calls, it.failed);
    }
}

asio::awaitable<void> call_into(sample& out, destination to, http_request request)
{
    out = co_await call(std::move(to), std::move(request));
}

/// Opens many streams at once and prints how many completed, the time and the throughput. Returns
/// false if one was incomplete.
bool run_streams(const destination& to, const overhead_options& options, int first_number)
{
    asio::io_context io;
    std::vector<sample> samples(static_cast<std::size_t>(options.streams));
    const auto start = steady::now();
    for (std::size_t i = 0; i < samples.size(); ++i) {
        auto request = make_request(to, options.model, options.stream_tokens,
                                    first_number + static_cast<int>(i));
        asio::co_spawn(io, call_into(samples[i], to, std::move(request)), asio::detached);
    }
    const double before = processor_ms(to.pid);
    io.run();
    const double seconds = ms_since(start) / 1000;
    std::size_t bytes = 0;
    int complete = 0;
    for (const auto& it : samples) {
        bytes += it.bytes;
        complete += it.is_complete ? 1 : 0;
    }
    std::printf("| %s | %d | %d | %.2f | %.0f | %.2f |\n", to.name.c_str(), options.streams,
                complete, seconds, complete * options.stream_tokens / seconds,
                (processor_ms(to.pid) - before) / 1000);
    return complete == options.streams && bytes > 0;
}

/// Returns the direct destination and the entries, for the engine or for the plain service.
std::vector<destination> make_targets(const overhead_options& options, bool is_plain)
{
    const std::string path = "/seats";
    destination direct{"engine directly", options.engine, "", 0, ""};
    if (is_plain) {
        direct = {"plain service directly", options.plain, "", 0, path};
    }
    const std::string entry_path = is_plain ? "/services/" + options.plain_service + path : "";
    std::vector<destination> targets{direct};
    for (std::size_t i = 0; i < options.entries.size(); ++i) {
        const int pid = i < options.entry_pids.size() ? options.entry_pids[i] : 0;
        targets.push_back(
            {"entry " + std::to_string(i), options.entries[i], options.key, pid, entry_path});
    }
    return targets;
}

bool compare_calls(const overhead_options& options, bool is_plain)
{
    const auto targets = make_targets(options, is_plain);
    std::vector<call_results> results(targets.size());
    asio::io_context io;
    asio::co_spawn(io, alternate_calls(targets, options, results), asio::detached);
    io.run();
    print_calls(targets, results, options.calls);
    return std::all_of(results.begin(), results.end(),
                       [](const call_results& it) { return it.failed == 0; });
}

bool compare_streams(const overhead_options& options)
{
    constexpr int numbers_per_destination = 100'000;
    std::printf("| streams through | opened | complete | s | tokens/s | processor s |\n"
                "| --- | --- | --- | --- | --- | --- |\n");
    bool is_ok = true;
    int first_number = numbers_per_destination;
    for (const auto& it : make_targets(options, false)) {
        is_ok = run_streams(it, options, first_number) && is_ok;
        first_number += numbers_per_destination;
    }
    return is_ok;
}

} // namespace

bool run_overhead(const overhead_options& options)
{
    bool is_ok = true;
    if (options.calls > 0) {
        is_ok = compare_calls(options, false);
    }
    if (options.calls > 0 && !options.plain_service.empty()) {
        is_ok = compare_calls(options, true) && is_ok;
    }
    if (options.streams > 0) {
        is_ok = compare_streams(options) && is_ok;
    }
    return is_ok;
}

} // namespace almondline::bench
