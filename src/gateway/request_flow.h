#pragma once

#include "gateway/retry_policy.h"
#include "gateway/types/gateway_context.h"
#include "gateway/types/server_attempt.h"
#include "granting/quarantine.h"
#include "http/server.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <vector>

namespace almondline::gateway {

/// Processes one request from admission to the final response: acquires a credit, sends the request
/// to the credit's backend server, forwards the response, and retries on another server where the
/// route allows it. Stops when the caller disconnects or the deadline passes.
///
/// The flow owns the caller's response. A request that may be repeated is also given to other
/// servers while all that have it are silent (a hedged request). It belongs to each of them until
/// one delivers the complete response or the next event of the stream; the others are ended then.
/// The next step is decided when all have failed.
class request_flow {
public:
    request_flow(gateway_context& context, http_exchange& exchange);

    boost::asio::awaitable<void> run();
    /// Must be called while the request waits for a credit and another manifest comes into force.
    void on_manifest_changed();
    /// Must be called when the instance begins to stop.
    void on_instance_stop();

private:
    using error_handler = std::function<void(const std::string& reason)>;
    enum class stop_cause { none, caller_left, time_up, instance_stops };

    /// Refuses requests that can't be served. Returns false if the request was refused.
    boost::asio::awaitable<bool> admit();
    void choose_service(const route_policy& route);
    boost::asio::awaitable<void> serve();
    /// Calls the handler with the reason if the work throws. Operators of awaitables wait for one
    /// that succeeds, so an exception would go unnoticed until the request's time is up. Returns
    /// when the work was cancelled.
    static boost::asio::awaitable<void> run_guarded(boost::asio::awaitable<void> work,
                                                    error_handler on_error);
    /// Ends the request because of an error in its processing.
    void fail(const std::string& reason);
    /// Ends one attempt because of an error in its processing.
    void fail_attempt(server_attempt& attempt, const std::string& reason);
    void log_error(std::string_view event, const std::string& reason);
    /// Acquires a confirmed credit and prepares the first attempt of a round with it. Returns null
    /// if the request was refused.
    boost::asio::awaitable<server_attempt*> start_round();
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
    /// Forgets the attempts of the round before, but for those that ended with a response.
    void keep_responses();
    server_attempt& add_attempt(granting::credit granted);

    /// Runs an attempt, and others beside it while all servers are silent. Returns when none is in
    /// progress.
    boost::asio::awaitable<void> run_hedged(server_attempt& first);
    /// Runs an attempt to its end and returns its credit.
    boost::asio::awaitable<void> run_attempt(server_attempt& attempt);
    /// Reserves a server when all others are silent, and runs the request there too.
    boost::asio::awaitable<void> add_server();
    /// Returns nothing if all attempts ended meanwhile.
    boost::asio::awaitable<std::optional<granting::credit>> reserve_when_silent();
    bool reserve_memory(server_attempt& attempt, std::size_t held_bytes) const;
    /// Fills in a confirmed credit, or nothing if there is none or the silence is over.
    boost::asio::awaitable<void> reserve_server(std::optional<granting::credit>& reserved);
    /// Returns when an attempt has ended or delivered, or after the pause.
    boost::asio::awaitable<void> wait_for_attempts(std::chrono::milliseconds pause);
    bool is_any_running() const;
    bool is_only_running(const server_attempt& attempt) const;
    bool are_servers_silent() const;
    bool is_silent(const server_attempt& attempt) const;
    /// Returns the time until a server can be silent for too long; zero if all are.
    std::chrono::milliseconds time_until_silent() const;
    /// Makes an attempt the only one, because it delivers the response or the next event. Returns
    /// false if another one did so before.
    bool claim(server_attempt& attempt);
    void supersede(server_attempt& attempt, const server_attempt& winner);
    /// Logs the end of an attempt that was not the only one, and returns its credit.
    void end_attempt(server_attempt& attempt);
    void log_attempt_end(const server_attempt& attempt);

    /// Runs the request on the server of an attempt.
    boost::asio::awaitable<void> run_on_server(server_attempt& attempt);
    boost::asio::awaitable<bool> connect(server_attempt& attempt);
    boost::asio::awaitable<bool> send(server_attempt& attempt);
    boost::asio::awaitable<std::string> write(server_attempt& attempt);
    boost::asio::awaitable<std::string> write_while_reading(server_attempt& attempt);
    boost::asio::awaitable<std::string> read_header_and_stop_writing(server_attempt& attempt);
    boost::asio::awaitable<std::string> read_matching_header(server_attempt& attempt);
    /// Passes on what the server of an attempt reports about itself in a response header.
    void handle_notice(server_attempt& attempt, const server_notice& notice, reply_kind kind);
    boost::asio::awaitable<void> handle_response(server_attempt& attempt);
    boost::asio::awaitable<bool> read_body(server_attempt& attempt);
    boost::asio::awaitable<void> relay_events(server_attempt& attempt);
    /// Reads and forwards the next part of a stream. Returns false if the attempt has ended.
    boost::asio::awaitable<bool> relay_part(server_attempt& attempt, bool& is_done);
    /// Returns whether what was received of a stream may be sent to the caller now.
    bool may_forward(const server_attempt& attempt, bool has_event) const;
    boost::asio::awaitable<bool> forward_events(server_attempt& attempt);
    /// Reports once to the granter, if it awaits this, that the response has begun without a crash.
    void report_start(server_attempt& attempt);
    /// Closes the connection and frees the memory of the response.
    static void drop_response(server_attempt& attempt);
    /// Ends an attempt whose connection or response failed.
    static void break_off(server_attempt& attempt, std::string cause);
    /// Finds out whether the server crashed when it started to answer this request.
    boost::asio::awaitable<void> check_crash(server_attempt& attempt);
    void keep_connection(server_attempt& attempt);
    void release_credit(server_attempt& attempt);
    bool plan_next();
    attempt_facts facts(const server_attempt* attempt) const;
    /// Returns the attempt that decides the next step of the round; null if there is none.
    server_attempt* decisive_attempt();
    /// Returns the attempt whose response the caller gets, or whose failure; null if there is none.
    server_attempt* final_attempt();
    /// Returns whether the caller can get the server's own response. Some statuses promise that the
    /// request has not run, but a request that ended with a failure did.
    static bool has_response_of_server(const server_attempt& attempt);
    bool is_completed();
    void stop(stop_cause cause);
    static std::string_view describe(stop_cause cause);
    bool has_server_timed_out(const server_attempt& attempt) const;
    boost::asio::awaitable<void> finish();
    boost::asio::awaitable<void> finish_stream();
    boost::asio::awaitable<void> refuse_stopping();
    boost::asio::awaitable<void> refuse_time_up();
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
    /// Timeout of the connection to a server. Later than the deadline, which ends the request, so
    /// that a limit of the request is not taken for a failure of the server.
    std::chrono::milliseconds io_timeout() const;
    std::chrono::milliseconds silence_limit(std::chrono::milliseconds target, double factor) const;
    std::chrono::milliseconds silence_limit_before_response() const;
    void note_progress(server_attempt& attempt) const
    {
        attempt.last_progress = context_.clock.now();
    }
    bool is_repeatable() const { return may_run_again(route_->kind, route_->is_resumable); }
    std::string account_name() const
    {
        return account_ == nullptr ? std::string{} : account_->name;
    }

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
    std::optional<boost::asio::steady_timer> attempts_timer_; ///< of wait_for_attempts()

    std::list<server_attempt> attempts_; ///< of this round; several while servers are silent
    /// Of earlier rounds, those that ended with a server's error response, which the caller gets if
    /// no other attempt ends with a response.
    std::list<server_attempt> answered_;
    std::string awaited_credit_; ///< id under which the request waits for a credit
    int credits_asked_ = 0;      ///< for servers beside silent ones
    bool is_reserving_ = false;  ///< waits for such a credit
    std::vector<std::string> excluded_;
    std::string retry_barrier_;       ///< why no other attempt followed the last one, for the log
    std::string refusal_cause_;       ///< of the gateway's own refusal, for the log
    refusal refusal_;                 ///< from the granter
    bool is_refused_ = false;         ///< no credit was granted
    bool may_have_run_ = false;       ///< on any server
    bool has_started_ = false;        ///< part of the response was sent to the caller
    std::uint64_t last_event_id_ = 0; ///< forwarded to the caller; 0 if none had an id
    int servers_reached_ = 0;
    int unreachable_servers_ = 0;
    stop_cause stopped_ = stop_cause::none;
};

} // namespace almondline::gateway
