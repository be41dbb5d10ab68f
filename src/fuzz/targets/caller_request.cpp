#include "common/json.h"
#include "entry/request_parser.h"
#include "fuzz/invariant.h"
#include "fuzz/targets.h"
#include "manifest/parse.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <cmath>
#include <optional>

namespace almondline::fuzz {

namespace {

using entry::caller_request;

constexpr std::string_view manifest_text = R"({
  "schema": 1, "name": "fuzz",
  "tiers": [{"name": "urgent"}, {"name": "batch"}],
  "kinds": [{"name": "draft"}, {"name": "print"}],
  "accounts": [{"name": "all"}, {"name": "desk", "tiers": ["batch"]}],
  "services": [
    {"name": "chat", "type": "model", "models": ["m1"], "default_tier": "batch",
     "default_kind": "draft"},
    {"name": "desk", "type": "plain", "default_tier": "urgent", "default_kind": "print",
     "calls": [{"method": "POST", "path": "/find", "idempotent": true},
               {"method": "POST", "path": "/find/save", "idempotent": false}]}]
})";

const manifest& target_manifest()
{
    static const manifest m = [] {
        parse_error error;
        auto parsed = try_parse_manifest(manifest_text, "fuzz", error);
        require(parsed.has_value(), "the manifest of the target is valid");
        return std::move(*parsed);
    }();
    return m;
}

std::string_view take_until(std::string_view& text, char end)
{
    const auto at = text.find(end);
    const auto part = text.substr(0, at);
    text.remove_prefix(at == text.npos ? text.size() : at + 1);
    return part;
}

/// Reads "METHOD TARGET", a header "NAME:VALUE" per line, an empty line and the body.
http_request read_request(std::string_view input)
{
    http_request request;
    auto first = take_until(input, '\n');
    request.method = take_until(first, ' ');
    request.target = first;
    while (!input.empty()) {
        auto line = take_until(input, '\n');
        if (line.empty()) {
            break;
        }
        const auto name = take_until(line, ':');
        request.headers.push_back({std::string{name}, std::string{line}});
    }
    request.body = input;
    return request;
}

std::optional<caller_request> parse(const http_request& request, const account_policy& account)
{
    const auto& m = target_manifest();
    const auto path = target_path(request.target);
    const bool is_call = path.substr(0, 10) == "/services/";
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<caller_request>> {
            BOOST_LEAF_AUTO(parsed, is_call ? entry::parse_service_call(request, m, account)
                                            : entry::parse_completion(request, m, account));
            return std::optional<caller_request>{std::move(parsed)};
        },
        [](const entry::api_error& e) {
            require(e.status >= 400 && e.status < 500 && !e.code.empty(),
                    "a rejected request has a 4xx status and an error code");
            return std::optional<caller_request>{};
        },
        [] {
            require(false, "a request is rejected only with an api_error");
            return std::optional<caller_request>{};
        });
}

void check_common(const caller_request& parsed, const account_policy& account)
{
    const auto& m = target_manifest();
    require(find_tier(m, parsed.tier_name) == parsed.tier && parsed.tier >= 0,
            "a parsed request has a known tier");
    require(account.tiers.empty() || account.tiers.front() == parsed.tier_name,
            "the client account may use the tier of a parsed request");
    require(parsed.kind == "draft" || parsed.kind == "print", "a parsed request has a known kind");
    require(parsed.time_limit.count() > 0 && parsed.time_limit <= entry::max_time_limit,
            "a time limit is within its range");
    require(std::isfinite(parsed.prompt_tokens) && std::isfinite(parsed.max_output_tokens) &&
                parsed.max_output_tokens >= 0,
            "token counts are finite");
    require(parsed.idempotency_key.empty() || !parsed.is_idempotent,
            "a request with an idempotency key is not marked as idempotent");
    for (const char* name : {"Authorization", "X-Tier", "Transfer-Encoding", "Connection"}) {
        require(find_header(parsed.forward.headers, name).empty(),
                "credentials, X-Tier and connection headers are not forwarded");
    }
}

/// A backend server decodes the path, so both spellings must get the same policy.
void check_escaped_path(const http_request& request, const caller_request& parsed,
                        const account_policy& account)
{
    const std::string path{target_path(parsed.forward.target)};
    const auto decoded = percent_decode(path);
    if (decoded == path || decoded.find_first_of("?%") != std::string::npos) {
        return;
    }
    auto plain = request;
    plain.target = "/services/" + parsed.service + decoded;
    const auto again = parse(plain, account);
    require(again && again->is_idempotent == parsed.is_idempotent,
            "a path with escapes has the same idempotency policy as the decoded path");
}

} // namespace

void fuzz_caller_request(std::string_view input)
{
    const auto request = read_request(input);
    for (const auto& account : target_manifest().accounts) {
        const auto parsed = parse(request, account);
        if (!parsed) {
            continue;
        }
        check_common(*parsed, account);
        require(parsed->forward.target.substr(0, 1) == "/",
                "a forwarded target begins with a slash");
        if (parsed->type == service_type::plain) {
            check_escaped_path(request, *parsed, account);
            continue;
        }
        const auto body = parse_json(parsed->forward.body);
        require(body && bool_or(*body, "stream", false),
                "a request to an engine asks for a stream");
    }
}

} // namespace almondline::fuzz
