#pragma once

#include "idempotency/idempotency_guard.h"

#include <chrono>
#include <functional>
#include <string>

namespace almondline::entry {

/// Interface of the idempotency guard for the traffic threads. Prevents requests with idempotency
/// keys from running twice. All functions are thread-safe.
class key_guard {
public:
    using admission_handler = std::function<void(const idempotency::admission&)>;

    virtual ~key_guard() = default;
    /// Decides whether a request is dispatched, answered or refused. The handler runs once, on the
    /// control thread.
    virtual void admit(const idempotency::keyed_request& request, admission_handler handler) = 0;
    /// Must be called once after an admission to dispatch, with the final response.
    virtual void finish(const idempotency::keyed_request& request,
                        const idempotency::outcome& result) = 0;
    /// Returns a new key issued by this instance.
    virtual std::string mint() const = 0;
    /// Lifetime of a minted key.
    virtual std::chrono::milliseconds key_lifetime() const = 0;

protected:
    key_guard() = default;
    key_guard(const key_guard&) = default;
    key_guard& operator=(const key_guard&) = default;
};

} // namespace almondline::entry
