#pragma once

#include "granting/types/credit.h"
#include "scheduling/types/credit_request.h"

#include <string>

namespace almondline::entry {

/// Source of dispatch credits for the traffic threads. All functions are thread-safe and return
/// immediately.
class credit_source {
public:
    virtual ~credit_source() = default;
    /// Requests a credit. The handler runs at most once, on the control thread: with a credit that
    /// is already confirmed and must be released, or with a refusal.
    virtual void request(const std::string& pool, scheduling::credit_request new_request,
                         granting::credit_handler handler) = 0;
    virtual void release(const granting::credit& credit,
                         const granting::release_report& report) = 0;
    /// Withdraws a request that is still waiting for a decision. Its handler does not run, unless a
    /// decision was made before this call takes effect on the control thread.
    virtual void cancel(const std::string& pool, const std::string& request_id) = 0;

protected:
    credit_source() = default;
    credit_source(const credit_source&) = default;
    credit_source& operator=(const credit_source&) = default;
};

} // namespace almondline::entry
