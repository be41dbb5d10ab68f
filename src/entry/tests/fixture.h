#pragma once

#include "common/hash.h"
#include "entry/caller_api.h"
#include "http/client.h"
#include "http/server.h"
#include "manifest/types/manifest.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

namespace almondline::entry {

/// Manifest with one model service "chat", one plain service "print" and two accounts.
inline manifest make_test_manifest()
{
    manifest m;
    m.tiers = {{"urgent", 0}, {"batch", 0.1}};
    m.kinds = {{"draft", 1, 0}, {"print", 1, 0}};
    account_policy large;
    large.name = "large";
    large.key_hashes = {sha256_hex("large-key")};
    account_policy small;
    small.name = "small";
    small.tiers = {"batch"};
    small.key_hashes = {sha256_hex("small-key")};
    m.accounts = {large, small};
    m.engine_classes = {{"fast", 10'000, 100, 100'000, 8}};
    service_policy chat;
    chat.name = "chat";
    chat.models = {"m"};
    chat.default_tier = "urgent";
    chat.default_kind = "draft";
    service_policy print;
    print.name = "print";
    print.type = service_type::plain;
    print.default_tier = "urgent";
    print.default_kind = "print";
    print.calls = {{"POST", "/search", true}, {"POST", "/search/save", false}};
    m.services = {chat, print};
    return m;
}

inline http_request make_call(const std::string& method, const std::string& target,
                              const std::string& body, const std::string& key,
                              std::vector<http_header> headers = {})
{
    http_request request{method, target, std::move(headers), body};
    if (!key.empty()) {
        request.headers.push_back({"Authorization", "Bearer " + key});
    }
    return request;
}

inline const std::string completion_body =
    R"({"model":"m","messages":[{"role":"user","content":"hello"}]})";

/// Answers every request with a credit for the next backend server of a list, or with a refusal.
class fake_credits final : public credit_source {
public:
    std::vector<std::string> addresses; ///< the last one is used again; empty: refuse
    refusal refuse_with{verdict::not_run, "shed", "the queue is full",
                        std::chrono::milliseconds{1500}};
    bool is_silent = false;
    std::vector<scheduling::credit_request> credit_requests;
    std::vector<granting::release_report> releases;
    int cancels = 0;

    void request(const std::string& pool, scheduling::credit_request new_request,
                 granting::credit_handler handler) override
    {
        credit_requests.push_back(new_request);
        if (is_silent) {
            return;
        }
        granting::credit_result result;
        result.reason = refuse_with;
        if (!addresses.empty()) {
            const auto n = std::min(credit_requests.size(), addresses.size()) - 1;
            granting::credit credit;
            credit.request_id = new_request.request_id;
            credit.pool = pool;
            credit.credit_id = "c" + std::to_string(credit_requests.size());
            credit.backend_id = "b" + std::to_string(n);
            credit.backend_address = addresses[n];
            result.granted = credit;
        }
        handler(result);
    }
    void release(const granting::credit& /*credit*/,
                 const granting::release_report& report) override
    {
        releases.push_back(report);
    }
    void cancel(const std::string& /*pool*/, const std::string& /*request_id*/) override
    {
        ++cancels;
    }
};

class fake_manifests final : public snapshot_source {
public:
    std::shared_ptr<const manifest_snapshot> current =
        make_snapshot(std::make_shared<const manifest>(make_test_manifest()));
    std::shared_ptr<const manifest_snapshot> snapshot() const override { return current; }
};

class fake_decisions final : public decision_recorder {
public:
    std::vector<std::string> lines;
    void record(const std::string& /*request_id*/, const std::string& line) override
    {
        lines.push_back(line);
    }
};

class fake_keyed_runner final : public keyed_request_runner {
public:
    int runs = 0;
    boost::asio::awaitable<void> run(caller_request request, http_exchange& exchange) override
    {
        ++runs;
        co_await exchange.reply(json_response(200, request.idempotency_key));
    }
    std::string mint_key(const std::string& account) override { return "key-of-" + account; }
};

/// The callers' API on one thread, with fakes for its dependencies.
struct entry_fixture {
    boost::asio::io_context io;
    system_clock_source clock;
    fake_manifests manifests;
    fake_credits credits;
    fake_decisions decisions;
    metrics_registry metrics;
    length_estimator lengths;
    retry_budget retries;
    std::atomic<bool> is_draining{false};
    traffic_context context{clock,   manifests, credits, decisions, metrics,    lengths,
                            retries, limits(),  "fd1",   "entry-1", is_draining};
    fake_keyed_runner keyed;
    caller_api api{context, keyed,
                   [] {
                       return std::vector<advertised_address>{{"entry-1", "10.0.0.1:80", "fd1"}};
                   },
                   std::chrono::seconds{10}};
    http_server server{
        io, {"127.0.0.1", 0}, {}, [this](http_exchange& exchange) { return serve(exchange); }};

    static backend::dispatch_limits limits()
    {
        backend::dispatch_limits out;
        out.silence = std::chrono::milliseconds{100};
        out.resume_window = std::chrono::milliseconds{200};
        return out;
    }

    boost::asio::awaitable<void> serve(http_exchange& exchange) { co_await api.handle(exchange); }

    http_result call(const http_request& request)
    {
        http_result result;
        const auto run = [&]() -> boost::asio::awaitable<void> {
            const ip_endpoint address{"127.0.0.1", server.port()};
            const http_timeouts timeouts;
            result = co_await call_http(address, request, timeouts);
            io.stop();
        };
        boost::asio::co_spawn(io, run(), boost::asio::detached);
        io.restart();
        io.run();
        return result;
    }
};

} // namespace almondline::entry
