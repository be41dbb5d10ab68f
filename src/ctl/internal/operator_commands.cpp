#include "ctl/internal/operator_commands.h"

#include "common/hash.h"
#include "common/json.h"
#include "common/log.h"
#include "ctl/internal/output.h"
#include "ctl/internal/table.h"
#include "http/client.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/serialize.hpp>

namespace almondline::ctl {

namespace {

constexpr std::size_t max_response_bytes = 16 * 1024 * 1024;

http_result call_entry(const ctl_context& context, const http_request& request)
{
    boost::asio::io_context io;
    http_result result;
    http_client_tls tls;
    tls.server_name = context.options.server_name;
    if (!context.options.ca_file.empty()) {
        tls.credentials =
            load_tls_client({{}, {}, context.options.ca_file}, context.clock, result.message);
        if (!tls.credentials) {
            return result;
        }
    }
    const auto address = context.options.entry_address;
    const auto run = [&]() -> boost::asio::awaitable<void> {
        const http_timeouts timeouts;
        result = co_await call_http(address, request, timeouts, max_response_bytes, tls);
    };
    boost::asio::co_spawn(io, run(), boost::asio::detached);
    io.run();
    return result;
}

bool read_key(ctl_context& context, std::string& key)
{
    if (context.options.key_file.empty()) {
        report_failure(context, exit_code::invalid,
                       "no operator key file: use --operator-key-file or operator.key_file");
        return false;
    }
    if (!read_input(context, context.options.key_file, key)) {
        return false;
    }
    key = trim_end(key);
    const bool is_plain = std::all_of(key.begin(), key.end(), [](char c) { return c > 0x20; });
    if (key.empty() || !is_plain) {
        report_failure(context, exit_code::invalid,
                       context.options.key_file + ": expected a single key without spaces");
        return false;
    }
    return true;
}

std::string error_message(const boost::json::value& body)
{
    const auto* object = body.if_object();
    const auto* error = object == nullptr ? nullptr : object->if_contains("error");
    return error == nullptr ? std::string{} : string_or(*error, "message");
}

exit_code report_response(ctl_context& context, const http_result& result)
{
    const auto body = parse_json(result.response.body);
    const bool is_ok = result.response.status >= 200 && result.response.status < 300;
    if (!is_ok) {
        const std::string status =
            "the instance answered " + std::to_string(result.response.status);
        const auto reason = body ? error_message(*body) : std::string{};
        return report_failure(context, exit_code::refused,
                              reason.empty() ? status : status + ": " + reason);
    }
    if (result.response.body.empty()) {
        return report(context, exit_code::ok, {{"ok", true}}, "done");
    }
    if (!body) {
        return report_failure(context, exit_code::refused,
                              "the response of the instance is not JSON");
    }
    if (body->is_object()) {
        return report(context, exit_code::ok, body->as_object(), render_json(*body));
    }
    return report(context, exit_code::ok, {{"result", *body}}, render_json(*body));
}

exit_code call_operator_endpoint(ctl_context& context, http_request request)
{
    if (context.options.entry_address.port == 0) {
        return report_failure(context, exit_code::invalid,
                              "no entry address: use --entry or entry.address");
    }
    std::string key;
    if (!read_key(context, key)) {
        return exit_code::invalid;
    }
    request.headers.push_back({"Authorization", "Bearer " + key});
    const auto result = call_entry(context, request);
    if (result.progress == http_progress::complete) {
        return report_response(context, result);
    }
    const bool may_have_run =
        request.method != "GET" && result.progress != http_progress::not_connected;
    return report_failure(context, exit_code::unreachable,
                          (may_have_run
                               ? "the command may have taken effect, but no response was received: "
                               : "the entry instance is not reachable: ") +
                              result.message);
}

} // namespace

exit_code show_status(ctl_context& context)
{
    http_request request;
    request.target = "/operator/status";
    return call_operator_endpoint(context, std::move(request));
}

exit_code explain_request(ctl_context& context, const std::string& request_id)
{
    http_request request;
    request.target = "/operator/explain/" + percent_encode(request_id);
    return call_operator_endpoint(context, std::move(request));
}

exit_code drain_instance(ctl_context& context)
{
    http_request request;
    request.method = "POST";
    request.target = "/operator/drain";
    return call_operator_endpoint(context, std::move(request));
}

exit_code set_instance_log_level(ctl_context& context, const std::string& component,
                                 const std::string& level)
{
    log_level ignored{};
    if (!parse_log_level(level, ignored)) {
        return report_failure(context, exit_code::invalid,
                              "\"" + level + "\" is not one of debug, info, warning, error");
    }
    http_request request;
    request.method = "PUT";
    request.target = "/operator/log-level";
    request.headers.push_back({"Content-Type", "application/json"});
    const boost::json::object body{{"component", component}, {"level", level}};
    request.body = boost::json::serialize(body);
    return call_operator_endpoint(context, std::move(request));
}

exit_code hash_key(ctl_context& context)
{
    std::string key;
    read_input(context, "-", key);
    key = trim_end(key);
    if (key.empty()) {
        return report_failure(context, exit_code::invalid, "standard input contains no key");
    }
    const auto hash = sha256_hex(key);
    return report(context, exit_code::ok, {{"sha256", hash}}, hash);
}

} // namespace almondline::ctl
