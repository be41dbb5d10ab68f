#include "common/log.h"

#include "common/bounded_output.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>
#include <chrono>
#include <ctime>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <unistd.h>

namespace almondline {

namespace {

namespace logging = boost::log;

struct log_config {
    std::shared_mutex mutex;
    log_level default_level = log_level::info;
    std::map<std::string, log_level, std::less<>> by_component;
    std::string instance_id;
};

log_config& shared_config()
{
    static log_config config;
    return config;
}

std::string_view level_name(log_level level)
{
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "error";
}

std::optional<bounded_output>& buffered_output()
{
    static std::optional<bounded_output> output;
    return output;
}

/// Sink backend of Boost.Log over the buffered output.
class buffered_backend : public logging::sinks::basic_formatted_sink_backend<char> {
public:
    void consume(const logging::record_view& /*record*/, const string_type& line)
    {
        buffered_output()->add(line);
    }
};

void install_buffered_sink()
{
    auto target = boost::make_shared<buffered_backend>();
    auto sink =
        boost::make_shared<logging::sinks::synchronous_sink<buffered_backend>>(std::move(target));
    sink->set_formatter(logging::expressions::stream << logging::expressions::smessage);
    logging::core::get()->add_sink(sink);
}

void install_sink()
{
    if (buffered_output()) {
        install_buffered_sink();
        return;
    }
    using backend = logging::sinks::text_ostream_backend;
    auto target = boost::make_shared<backend>();
    target->add_stream(boost::shared_ptr<std::ostream>(&std::clog, [](std::ostream*) {}));
    target->auto_flush(true);
    auto sink = boost::make_shared<logging::sinks::synchronous_sink<backend>>(target);
    sink->set_formatter(logging::expressions::stream << logging::expressions::smessage);
    logging::core::get()->add_sink(sink);
}

void append_value(std::string& line, std::string_view value)
{
    const bool is_plain = !value.empty() && value.find_first_of(" \"=\\\n\r\t") == value.npos;
    if (is_plain) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            line += '\\';
            line += c;
        }
        else if (static_cast<unsigned char>(c) < 0x20U) {
            line += c == '\n' ? "\\n" : "?";
        }
        else {
            line += c;
        }
    }
    line += '"';
}

void append_field(std::string& line, std::string_view key, std::string_view value)
{
    if (!line.empty()) {
        line += ' ';
    }
    line += key;
    line += '=';
    append_value(line, value);
}

std::string format_time(std::chrono::system_clock::time_point when)
{
    const auto since_epoch = when.time_since_epoch();
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count() % 1000;
    const std::time_t seconds = std::chrono::system_clock::to_time_t(when);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char buf[40];
    const auto n = std::strftime(buf, sizeof buf, "%Y-%m-%dT%H:%M:%S", &parts);
    std::string text(buf, n);
    const std::string digits = std::to_string(1000 + ms);
    return text + "." + digits.substr(1) + "Z";
}

} // namespace

bool parse_log_level(std::string_view text, log_level& level)
{
    for (const auto it :
         {log_level::debug, log_level::info, log_level::warning, log_level::error}) {
        if (text == level_name(it)) {
            level = it;
            return true;
        }
    }
    return false;
}

std::string format_log_line(std::string_view component, log_level level, std::string_view event,
                            std::initializer_list<log_field> fields)
{
    std::string line;
    line.reserve(160);
    append_field(line, "level", level_name(level));
    append_field(line, "component", component);
    append_field(line, "event", event);
    for (const auto& it : fields) {
        append_field(line, it.key, it.value);
    }
    return line;
}

bool is_log_enabled(std::string_view component, log_level level)
{
    log_config& config = shared_config();
    const std::shared_lock lock{config.mutex};
    const auto it = config.by_component.find(component);
    const log_level lowest = it == config.by_component.end() ? config.default_level : it->second;
    return level >= lowest;
}

void set_log_level(std::string_view component, log_level level)
{
    log_config& config = shared_config();
    const std::unique_lock lock{config.mutex};
    if (component == "*") {
        config.default_level = level;
        config.by_component.clear();
        return;
    }
    config.by_component.insert_or_assign(std::string{component}, level);
}

void buffer_log(std::size_t max_pending_bytes)
{
    buffered_output().emplace(STDOUT_FILENO, max_pending_bytes);
}

void flush_log()
{
    if (buffered_output()) {
        buffered_output()->flush();
    }
}

std::uint64_t dropped_log_lines()
{
    return buffered_output() ? buffered_output()->dropped_lines() : 0;
}

void set_log_instance(std::string instance_id)
{
    log_config& config = shared_config();
    const std::unique_lock lock{config.mutex};
    config.instance_id = std::move(instance_id);
}

void log_event(std::string_view component, log_level level, std::string_view event,
               std::initializer_list<log_field> fields)
{
    if (!is_log_enabled(component, level)) {
        return;
    }
    static std::once_flag once;
    std::call_once(once, install_sink);
    std::string line;
    append_field(line, "time", format_time(std::chrono::system_clock::now()));
    {
        log_config& config = shared_config();
        const std::shared_lock lock{config.mutex};
        if (!config.instance_id.empty()) {
            append_field(line, "instance", config.instance_id);
        }
    }
    line += ' ';
    line += format_log_line(component, level, event, fields);
    thread_local logging::sources::logger logger;
    BOOST_LOG(logger) << line;
}

} // namespace almondline
