#include "entry/request_parser.h"

#include "common/hash.h"
#include "common/json.h"
#include "common/prefix.h"

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <charconv>

namespace almondline::entry {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

constexpr double characters_per_token = 4;
constexpr std::size_t max_key_length = 200;
// Keeps costs finite. Far above the context length of any model.
constexpr double max_output_limit = 1e9;

auto fail(int status, std::string code, std::string message)
{
    return leaf::new_error(api_error{status, std::move(code), std::move(message)});
}

bool may_use_tier(const account_policy& account, const std::string& tier)
{
    return account.tiers.empty() ||
           std::find(account.tiers.begin(), account.tiers.end(), tier) != account.tiers.end();
}

leaf::result<void> read_tier(const http_request& request, const manifest& m,
                             const account_policy& account, const service_policy& service,
                             caller_request& out)
{
    const auto header_value = find_header(request.headers, "X-Tier");
    out.tier_name = header_value.empty() ? service.default_tier : std::string{header_value};
    // An account that may not use the default tier gets the first tier of its own list.
    if (header_value.empty() && !may_use_tier(account, out.tier_name)) {
        out.tier_name = account.tiers.front();
    }
    out.tier = find_tier(m, out.tier_name);
    if (out.tier < 0) {
        return fail(400, "unknown-tier", "X-Tier names no tier of the manifest");
    }
    if (!may_use_tier(account, out.tier_name)) {
        return fail(403, "tier-not-allowed", "the client account may not use this tier");
    }
    return {};
}

leaf::result<void> read_kind(const http_request& request, const manifest& m,
                             const service_policy& service, caller_request& out)
{
    const auto header_value = find_header(request.headers, "X-Work-Kind");
    out.kind = header_value.empty() ? service.default_kind : std::string{header_value};
    const bool is_known = std::any_of(m.kinds.begin(), m.kinds.end(),
                                      [&](const kind_policy& it) { return it.name == out.kind; });
    if (!is_known) {
        return fail(400, "unknown-kind", "X-Work-Kind names no kind of work of the manifest");
    }
    return {};
}

leaf::result<void> read_time_limit(const http_request& request, const service_policy& service,
                                   caller_request& out)
{
    out.time_limit = service.deadline;
    const auto text = find_header(request.headers, "X-Deadline-Ms");
    if (text.empty()) {
        return {};
    }
    std::int64_t ms = 0;
    const auto [ptr, ec] = std::from_chars(text.data(), text.data() + text.size(), ms);
    if (ec != std::errc{} || ptr != text.data() + text.size() || ms <= 0) {
        return fail(400, "bad-deadline", "X-Deadline-Ms is not a positive number of milliseconds");
    }
    out.time_limit = std::min(std::chrono::milliseconds{ms}, max_time_limit);
    return {};
}

leaf::result<void> read_idempotency(const http_request& request, caller_request& out)
{
    out.idempotency_key = std::string{find_header(request.headers, "Idempotency-Key")};
    if (out.idempotency_key.size() > max_key_length) {
        return fail(400, "bad-idempotency-key", "Idempotency-Key is longer than 200 characters");
    }
    const bool is_declared_unsafe = find_header(request.headers, "X-Idempotent") == "false";
    out.is_idempotent = out.is_idempotent && !is_declared_unsafe && out.idempotency_key.empty();
    if (!out.idempotency_key.empty()) {
        out.body_digest = sha256_hex(request.target + "\n" + request.body);
    }
    return {};
}

leaf::result<void> read_common(const http_request& request, const manifest& m,
                               const account_policy& account, const service_policy& service,
                               caller_request& out)
{
    out.account = account.name;
    out.service = service.name;
    out.type = service.type;
    BOOST_LEAF_CHECK(read_tier(request, m, account, service, out));
    BOOST_LEAF_CHECK(read_kind(request, m, service, out));
    BOOST_LEAF_CHECK(read_time_limit(request, service, out));
    BOOST_LEAF_CHECK(read_idempotency(request, out));
    return {};
}

void append_content(const json::value& content, std::string& text)
{
    if (content.is_string()) {
        text.append(content.get_string().data(), content.get_string().size());
        return;
    }
    if (!content.is_array()) {
        return;
    }
    for (const auto& part : content.get_array()) {
        text += string_or(part, "text");
    }
}

leaf::result<std::string> read_prompt(const json::value& body)
{
    const auto* messages = body.get_object().if_contains("messages");
    if (messages == nullptr || !messages->is_array() || messages->get_array().empty()) {
        return fail(400, "bad-request", "\"messages\" is missing or empty");
    }
    std::string text;
    for (const auto& it : messages->get_array()) {
        if (!it.is_object()) {
            return fail(400, "bad-request", "\"messages\" holds something that is no object");
        }
        const auto* content = it.get_object().if_contains("content");
        if (content != nullptr) {
            append_content(*content, text);
        }
    }
    return text;
}

http_request make_engine_request(json::value body)
{
    auto& object = body.get_object();
    object["stream"] = true;
    object["stream_options"] = json::object{{"include_usage", true}};
    http_request request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.headers.push_back({"Content-Type", "application/json"});
    request.headers.push_back({"Accept", "text/event-stream"});
    request.body = json::serialize(body);
    return request;
}

bool is_forwarded_header(std::string_view name)
{
    static constexpr std::array not_forwarded{"connection",
                                              "keep-alive",
                                              "transfer-encoding",
                                              "upgrade",
                                              "te",
                                              "trailer",
                                              "authorization",
                                              "content-length",
                                              "host",
                                              "x-tier",
                                              "x-work-kind",
                                              "x-deadline-ms",
                                              "expect",
                                              "x-request-id",
                                              "proxy-authorization",
                                              "x-idempotent",
                                              "proxy-connection",
                                              "x-client-account"};
    std::string lower{name};
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return std::find(not_forwarded.begin(), not_forwarded.end(), lower) == not_forwarded.end();
}

/// Decodes the path and merges repeated slashes, as a backend server does before it routes a call.
std::string normalized_path(std::string_view path)
{
    auto out = percent_decode(path);
    const auto end =
        std::unique(out.begin(), out.end(), [](char a, char b) { return a == '/' && b == '/'; });
    out.erase(end, out.end());
    return out;
}

bool is_call_idempotent(const service_policy& service, const std::string& method,
                        std::string_view path)
{
    const call_policy* best = nullptr;
    for (const auto& it : service.calls) {
        const bool is_match = it.method == method && path.starts_with(it.path);
        if (is_match && (best == nullptr || it.path.size() > best->path.size())) {
            best = &it;
        }
    }
    if (best != nullptr) {
        return best->is_idempotent;
    }
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

/// Detects "." and ".." segments, encoded or not. The backend server would resolve them after the
/// call policies were matched, and run a different call from the one that was checked.
bool has_dot_segment(std::string_view path)
{
    const auto decoded = percent_decode(path);
    std::string_view rest = decoded;
    while (!rest.empty()) {
        const auto slash = rest.find('/');
        const auto segment = rest.substr(0, slash);
        if (segment == "." || segment == "..") {
            return true;
        }
        rest = slash == rest.npos ? std::string_view{} : rest.substr(slash + 1);
    }
    return false;
}

} // namespace

leaf::result<caller_request> parse_completion(const http_request& request, const manifest& m,
                                              const account_policy& account)
{
    std::string syntax_error;
    auto body = leaf::try_handle_all(
        [&]() -> leaf::result<json::value> { return parse_json(request.body); },
        [&](const parse_error& e) {
            syntax_error = to_string(e);
            return json::value{};
        },
        [] { return json::value{}; });
    if (!body.is_object()) {
        return fail(400, "bad-request",
                    syntax_error.empty() ? "the body is not a JSON object" : syntax_error);
    }
    const auto model = string_or(body, "model");
    const auto* service = find_service_of_model(m, model);
    if (service == nullptr) {
        return fail(404, "unknown-model", "no service of the manifest serves this model");
    }
    caller_request out;
    BOOST_LEAF_CHECK(read_common(request, m, account, *service, out));
    BOOST_LEAF_AUTO(prompt, read_prompt(body));
    out.model = model;
    out.is_stream = bool_or(body, "stream", false);
    out.prompt_tokens = static_cast<double>(prompt.size()) / characters_per_token + 1;
    const auto limit = number_or(body, "max_completion_tokens", number_or(body, "max_tokens", 0));
    out.max_output_tokens = std::clamp(limit, 0.0, max_output_limit);
    out.prefix_blocks = prefix_block_hashes(prompt);
    out.forward = make_engine_request(std::move(body));
    return out;
}

leaf::result<caller_request> parse_service_call(const http_request& request, const manifest& m,
                                                const account_policy& account)
{
    constexpr std::string_view prefix = "/services/";
    const auto rest = std::string_view{request.target}.substr(prefix.size());
    const auto end = rest.find_first_of("/?");
    const std::string name{rest.substr(0, end)};
    const auto* service = find_service(m, name);
    if (service == nullptr || service->type != service_type::plain) {
        return fail(404, "unknown-service", "no plain service of this name is in the manifest");
    }
    std::string target{end == rest.npos ? std::string_view{} : rest.substr(end)};
    if (target.empty() || target.front() != '/') {
        target.insert(target.begin(), '/');
    }
    if (has_dot_segment(target_path(target))) {
        return fail(400, "bad-request", "the path has a \".\" or \"..\" segment");
    }
    caller_request out;
    out.is_idempotent =
        is_call_idempotent(*service, request.method, normalized_path(target_path(target)));
    BOOST_LEAF_CHECK(read_common(request, m, account, *service, out));
    out.forward.method = request.method;
    out.forward.target = target;
    out.forward.body = request.body;
    for (const auto& it : request.headers) {
        if (is_forwarded_header(it.name)) {
            out.forward.headers.push_back(it);
        }
    }
    out.forward.headers.push_back({"X-Client-Account", account.name});
    return out;
}

} // namespace almondline::entry
