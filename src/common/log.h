#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace almondline {

enum class log_level { debug, info, warning, error };

/// Parses "debug", "info", "warning" or "error". Returns false for any other text.
bool parse_log_level(std::string_view text, log_level& level);

/// One key and value of a log line.
struct log_field {
    std::string_view key;
    std::string value;

    log_field(std::string_view k, std::string_view v) : key{k}, value{v} {}
    log_field(std::string_view k, const char* v) : key{k}, value{v} {}
    log_field(std::string_view k, const std::string& v) : key{k}, value{v} {}
    template <class T>
    requires std::is_arithmetic_v<T> log_field(std::string_view k, T v)
        : key{k}, value{std::to_string(v)}
    {
    }
};

/// Writes one logfmt line to standard error: time, level, component, event, fields.
/// Values with spaces, quotes or control characters are quoted and escaped.
void log_event(std::string_view component, log_level level, std::string_view event,
               std::initializer_list<log_field> fields = {});

/// True if a line of this component and level would be written. Avoids building costly lines that
/// are not written.
bool is_log_enabled(std::string_view component, log_level level);

/// Redirects log lines from standard error to standard output, through a buffer of at most
/// max_pending_bytes that flush_log() writes without blocking. For single-threaded processes. Must
/// be called before the first line.
void buffer_log(std::size_t max_pending_bytes);
void flush_log();
/// Number of lines dropped because the buffer was full.
std::uint64_t dropped_log_lines();

/// Sets the lowest level that a component writes. "*" sets the default and removes the levels of
/// all components. May be called at any time.
void set_log_level(std::string_view component, log_level level);

/// Returns a line as log_event() writes it, without the time and the instance.
std::string format_log_line(std::string_view component, log_level level, std::string_view event,
                            std::initializer_list<log_field> fields);

/// Adds the instance id to all later lines of the process.
void set_log_instance(std::string instance_id);

} // namespace almondline
