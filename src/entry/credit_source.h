#pragma once

#include "granting/types/credit.h"
#include "scheduling/types/credit_request.h"

#include <string>

namespace almondline::entry {

/// Source of dispatch credits for the traffic threads. All functions are thread-safe and return at
/// once.
class credit_source {
public:
    virtual ~credit_source() = default;
    /// The handler runs at most once, on the control thread: with a credit that is already
    /// confirmed and must be released, or with a refusal.
    virtual void request(const std::string& pool, scheduling::credit_request what,
                         granting::credit_handler handler) = 0;
    virtual void release(const granting::credit& given, const granting::release_report& report) = 0;
    /// Gives up a request whose decision is still to come. The handler may not run any more.
    virtual void cancel(const std::string& pool, const std::string& request_id) = 0;

protected:
    credit_source() = default;
    credit_source(const credit_source&) = default;
    credit_source& operator=(const credit_source&) = default;
};

} // namespace almondline::entry
