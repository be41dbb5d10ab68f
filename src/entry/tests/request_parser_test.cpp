#include "entry/request_parser.h"

#include "entry/tests/fixture.h"

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>

using namespace almondline;
using namespace almondline::entry;
namespace leaf = boost::leaf;

namespace {

struct parsed {
    caller_request request;
    api_error error{0, "", ""};
};

parsed parse(const http_request& request, const std::string& account_name = "large")
{
    const auto m = make_test_manifest();
    const auto* account = find_account(m, account_name);
    parsed out;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            const bool is_call = request.target.rfind("/services/", 0) == 0;
            BOOST_LEAF_ASSIGN(out.request, is_call ? parse_service_call(request, m, *account)
                                                   : parse_completion(request, m, *account));
            return {};
        },
        [&](const api_error& e) { out.error = e; }, [] {});
    return out;
}

http_request completion(const std::string& body, std::vector<http_header> headers = {})
{
    return make_call("POST", "/v1/chat/completions", body, "", std::move(headers));
}

} // namespace

TEST_CASE("parse_completion rejects an invalid request with the status and code of the error")
{
    struct row {
        std::string body;
        std::vector<http_header> headers;
        int status;
        std::string code;
    };
    const row rows[] = {
        {completion_body, {}, 0, ""},
        {"", {}, 400, "bad-request"},
        {"{\"model\":", {}, 400, "bad-request"},
        {"[]", {}, 400, "bad-request"},
        {std::string(1000, '['), {}, 400, "bad-request"},
        {R"({"model":"m"})", {}, 400, "bad-request"},
        {R"({"model":"m","messages":[]})", {}, 400, "bad-request"},
        {R"({"model":"m","messages":[3]})", {}, 400, "bad-request"},
        {R"({"model":"other","messages":[{"content":"x"}]})", {}, 404, "unknown-model"},
        {completion_body, {{"X-Tier", "none"}}, 400, "unknown-tier"},
        {completion_body, {{"X-Work-Kind", "none"}}, 400, "unknown-kind"},
        {completion_body, {{"X-Deadline-Ms", "-5"}}, 400, "bad-deadline"},
        {completion_body, {{"X-Deadline-Ms", "5s"}}, 400, "bad-deadline"},
        {completion_body, {{"Idempotency-Key", std::string(201, 'k')}}, 400, "bad-idempotency-key"},
    };
    for (const auto& it : rows) {
        CAPTURE(it.body.substr(0, 60));
        const auto out = parse(completion(it.body, it.headers));
        CHECK(out.error.status == it.status);
        CHECK(out.error.code == it.code);
    }
}

TEST_CASE("an account can't use a tier that the manifest does not allow for it")
{
    CHECK(parse(completion(completion_body, {{"X-Tier", "urgent"}}), "small").error.status == 403);
    const auto by_default = parse(completion(completion_body), "small");
    CHECK(by_default.error.status == 0);
    CHECK(by_default.request.tier_name == "batch");
}

TEST_CASE("the engine request is always for a stream, so that it can be resumed")
{
    const auto out = parse(completion(completion_body));
    CHECK_FALSE(out.request.is_stream);
    CHECK(out.request.forward.body.find(R"("stream":true)") != std::string::npos);
}

TEST_CASE("the longest matching call policy, or else the method, makes a service call idempotent")
{
    struct row {
        const char* method;
        const char* target;
        std::vector<http_header> headers;
        bool is_idempotent;
    };
    const row rows[] = {
        {"GET", "/services/print/jobs", {}, true},
        {"POST", "/services/print/jobs", {}, false},
        {"POST", "/services/print/search?q=1", {}, true},
        {"POST", "/services/print/search/save", {}, false},
        // The backend server decodes and normalizes the path before it routes the call.
        {"POST", "/services/print/search/%73ave", {}, false},
        {"POST", "/services/print/search%2Fsave", {}, false},
        {"POST", "/services/print//search//save", {}, false},
        {"GET", "/services/print/jobs", {{"X-Idempotent", "false"}}, false},
        {"POST", "/services/print/jobs", {{"X-Idempotent", "true"}}, false},
        {"GET", "/services/print/jobs", {{"Idempotency-Key", "k"}}, false},
    };
    for (const auto& it : rows) {
        CAPTURE(it.target);
        const auto out = parse(make_call(it.method, it.target, "", "", it.headers));
        CHECK(out.error.status == 0);
        CHECK(out.request.is_idempotent == it.is_idempotent);
    }
}

TEST_CASE("a path with dot segments, which the backend server would resolve, is rejected")
{
    for (const char* target :
         {"/services/print/search/../jobs", "/services/print/search/%2e%2e/jobs",
          "/services/print/./search", "/services/print/search%2F..%2Fjobs"}) {
        CAPTURE(target);
        CHECK(parse(make_call("POST", target, "", "")).error.code == "bad-request");
    }
}

TEST_CASE(
    "credentials and hop-by-hop headers are not forwarded, and callers can't impersonate accounts")
{
    const auto out =
        parse(make_call("POST", "/services/print/jobs", "x", "large-key",
                        {{"X-Client-Account", "small"}, {"Connection", "close"}, {"X-Own", "1"}}));
    const auto& headers = out.request.forward.headers;
    CHECK(find_header(headers, "Authorization").empty());
    CHECK(find_header(headers, "Connection").empty());
    CHECK(find_header(headers, "X-Own") == "1");
    CHECK(find_header(headers, "X-Client-Account") == "large");
    CHECK(out.request.forward.target == "/jobs");
}

TEST_CASE("a huge token limit is clamped, so that costs stay finite")
{
    const auto out = parse(completion(
        R"({"model":"m","max_tokens":1e300,"messages":[{"role":"user","content":"x"}]})"));
    CHECK(out.error.status == 0);
    CHECK(out.request.max_output_tokens <= 1e9);
}
