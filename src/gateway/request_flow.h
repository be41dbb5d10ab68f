#pragma once

#include "backend/event_splitter.h"
#include "gateway/retry_policy.h"
#include "gateway/types/gateway_context.h"
#include "granting/quarantine.h"
#include "http/body_reservation.h"
#include "http/client.h"
#include "http/server.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <string>
#include <vector>

namespace almondline::gateway {

/// Processes one request from admission to the final response: acquires a credit, sends the request
/// to the credit's backend server, forwards the response, and retries on another server where the
/// route allows it. Stops when the caller disconnects or the deadline passes.
class request_flow {
public:
    request_flow(gateway_context& context, http_exchange& exchange);

    boost::asio::awaitable<void> run();
    /// Must be called while the request waits for a credit and another manifest comes into force.
    void on_manifest_changed();
    /// Must be called when the instance begins to stop.
    void on_instance_stop();

private:
    enum class stop_cause { none, caller_left, time_up, instance_stops };

    /// Refuses requests that can't be served. Returns false if the request was refused.
    boost::asio::awaitable<bool> admit();
    void choose_service(const route_policy& route);
    boost::asio::awaitable<void> serve();
    /// Ends the request if the work throws. Operators of awaitables wait for one that succeeds, so
    /// an exception would go unnoticed until the request's time is up. Returns when the work was
    /// cancelled.
    boost::asio::awaitable<void> run_guarded(boost::asio::awaitable<void> work);
    /// Ends the request because of an error in its processing.
    void fail(const std::string& reason);
    /// Acquires a confirmed credit for the next attempt. Returns false if the request was refused.
    boost::asio::awaitable<bool> acquire_credit();
    /// Requests a credit under an id, and again while the pool has no owner.
    boost::asio::awaitable<granting::credit_result> request_credit(std::string credit_id);
    /// Returns whether the manifest in force has another service for the request.
    bool has_left_service() const;
    /// Follows the manifest in force if it has another service for the request. Returns false if
    /// it has none.
    bool follow_manifest();
    /// Returns false if the credit has expired or its server must not be used any more.
    bool confirm(const granting::credit& granted);
    void return_unused(const granting::credit& granted);
    void start_attempt(granting::credit granted);
    boost::asio::awaitable<void> run_attempt();
    /// Runs the request on the server of its credit.
    boost::asio::awaitable<void> run_on_server();
    /// Returns when a server is reserved that takes over from a silent one.
    boost::asio::awaitable<void> watch_for_silence();
    /// Reserves another server. Returns false if there is none or the silence is over.
    boost::asio::awaitable<bool> reserve_replacement();
    bool is_server_silent() const;
    bool may_move() const;
    boost::asio::awaitable<bool> connect();
    boost::asio::awaitable<bool> send();
    boost::asio::awaitable<std::string> write();
    boost::asio::awaitable<std::string> write_while_reading();
    boost::asio::awaitable<std::string> read_header_and_stop_writing();
    boost::asio::awaitable<std::string> read_matching_header();
    /// Passes on what the server of this attempt reports about itself in a response header.
    void handle_notice(const server_notice& notice, reply_kind kind);
    boost::asio::awaitable<void> handle_response();
    boost::asio::awaitable<void> read_body();
    boost::asio::awaitable<void> relay_events();
    boost::asio::awaitable<bool> forward_events(const std::string& events);
    /// Reports once to the granter, if it awaits this, that the response has begun without a crash.
    void report_start();
    /// Finds out whether the server crashed when it started to answer this request.
    boost::asio::awaitable<void> check_crash();
    void keep_connection();
    void release_credit();
    bool plan_next();
    /// Prepares the next attempt, which excludes the server of this one.
    void leave_server();
    attempt_facts facts() const;
    void stop(stop_cause cause);
    bool has_server_timed_out() const;
    boost::asio::awaitable<void> finish();
    boost::asio::awaitable<void> refuse_stopping();
    boost::asio::awaitable<void> refuse(int status, refusal reason);
    boost::asio::awaitable<void> answer();
    void log_end(int status, std::string_view code);

    scheduling::credit_request make_credit_request() const;
    double allowance_cost() const;
    steady_time credit_deadline() const;
    /// Returns the time that the request may take once it is dispatched.
    std::chrono::milliseconds service_time() const;
    /// Returns the time after which the request could not be finished any more.
    steady_time latest_dispatch() const;
    /// Returns when the request gets its final response if it is not complete by then.
    steady_time latest_end() const;
    /// Returns at that time, which may change meanwhile.
    boost::asio::awaitable<void> wait_for_end();
    /// Must be called when latest_end() may have become earlier.
    void update_end();
    void note_answer_time();
    std::chrono::milliseconds time_left() const;
    /// Time for which to wait for a server: until the deadline, at which the request is stopped.
    std::chrono::milliseconds read_timeout() const;
    std::chrono::milliseconds silence_limit(std::chrono::milliseconds target, double factor) const;
    std::chrono::milliseconds silence_limit_before_response() const;
    void note_progress() { last_progress_ = context_.clock.now(); }
    std::string account_name() const
    {
        return account_ == nullptr ? std::string{} : account_->name;
    }
    std::string server_key() const { return credit_.backend_id + "@" + credit_.backend_address; }

    gateway_context& context_;
    http_exchange& exchange_;
    call call_;
    std::shared_ptr<const route_table> routes_;           ///< with the request's service
    std::shared_ptr<const route_table> admission_routes_; ///< keeps route_ and account_ alive
    const route_policy* route_ = nullptr;
    const account_policy* account_ = nullptr;
    std::string service_;
    granting::fingerprints fingerprints_; ///< of what may make the request crash its servers
    steady_time started_{};
    steady_time deadline_{};
    std::optional<boost::asio::steady_timer> end_timer_;

    granting::credit credit_;
    bool has_credit_ = false;
    std::string awaited_credit_; ///< id under which the request waits for a credit
    /// Credit for the server that takes over from the silent one. Set while that one still has the
    /// request; nothing more of its response is passed on then.
    std::optional<granting::credit> replacement_;
    std::vector<std::string> excluded_;
    std::optional<http_connection> connection_;
    http_response response_; ///< header, and the body unless it is a stream
    body_reservation response_memory_;
    backend::event_splitter events_; ///< of this attempt; skips those forwarded by earlier attempts
    attempt_end end_ = attempt_end::stopped;
    std::string cause_;
    std::string retry_barrier_; ///< why no other attempt followed the last one, for the log
    refusal refusal_;           ///< from the granter
    bool is_refused_ = false;   ///< no credit was granted
    bool is_sent_ = false;      ///< sending to the server of this attempt has started
    bool is_written_ = false;   ///< the whole request was sent to the server of this attempt
    bool may_have_run_ = false;
    bool is_start_reported_ = false;  ///< of the response of this attempt
    bool is_server_leaving_ = false;  ///< the server of this attempt reported that it stops soon
    bool has_server_crashed_ = false; ///< as it started to answer this attempt
    bool has_started_ = false;        ///< part of the response was sent to the caller
    int servers_reached_ = 0;
    int unreachable_servers_ = 0;
    steady_time dispatched_{};
    steady_time first_event_{};
    steady_time last_progress_{};                ///< of the response of this attempt
    std::chrono::milliseconds silence_limit_{0}; ///< from last_progress_ on
    bool is_forwarding_ = false;                 ///< a part of the response is being sent
    stop_cause stopped_ = stop_cause::none;
};

} // namespace almondline::gateway
