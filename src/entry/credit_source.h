#pragma once

#include "common/types/verdict.h"
#include "scheduling/types/ask.h"

#include <chrono>
#include <functional>
#include <string>
#include <variant>

namespace almondline::entry {

/// Permission to dispatch one request to one backend server.
struct credit {
    std::string request_id;
    std::string pool;
    std::string credit_id;
    std::string backend_id;
    std::string backend_address; ///< IP:PORT
    std::string reason;          ///< why this backend server was chosen
};

using credit_decision = std::variant<credit, refusal>;

enum class credit_use { finished, not_dispatched, failed, cancelled };

/// What became of a credit.
struct credit_report {
    credit_use use = credit_use::not_dispatched;
    double actual_cost = 0;                   ///< token units
    std::chrono::milliseconds first_token{0}; ///< after dispatch, 0 if there was none
    std::chrono::milliseconds duration{0};    ///< from dispatch to the end
    double prompt_tokens = 0;
    double output_tokens = 0;
};

/// Source of dispatch credits for the traffic threads. All functions are thread-safe and return at
/// once.
class credit_source {
public:
    using handler = std::function<void(credit_decision)>;

    virtual ~credit_source() = default;
    /// The handler runs exactly once, on the control thread.
    virtual void request(const std::string& pool, scheduling::ask what, handler done) = 0;
    /// The request is about to be dispatched under this credit.
    virtual void confirm(const credit& given) = 0;
    virtual void release(const credit& given, const credit_report& report) = 0;
    /// Gives up a request whose decision is still to come. The handler still runs.
    virtual void cancel(const std::string& pool, const std::string& request_id) = 0;

protected:
    credit_source() = default;
    credit_source(const credit_source&) = default;
    credit_source& operator=(const credit_source&) = default;
};

} // namespace almondline::entry
