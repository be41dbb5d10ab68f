#pragma once

#include "routing/types/replica.h"

#include <chrono>
#include <cstddef>
#include <string>

namespace almondline::granting {

struct granter_settings {
    std::string instance_id;
    std::string pool; ///< the pool slice that it grants for
    /// A credit that is not confirmed within this time expires.
    std::chrono::milliseconds credit_lifetime{2000};
    /// The lifetime sent to the holder is shorter by this margin, so that even its last possible
    /// confirmation arrives in time. Covers the longest one-way delay within a region.
    std::chrono::milliseconds expiry_margin{200};
    /// A new granter queues credit requests but grants nothing for this long, so that holders can
    /// first report their requests in progress.
    std::chrono::milliseconds takeover_delay{300};
    /// A holder that sends nothing for this long is considered dead, and its credits are released.
    /// Three times credit_client_settings::holdings_interval.
    std::chrono::milliseconds holder_timeout{15'000};
    /// Credit requests are refused once there has been no usable backend server for this long.
    std::chrono::milliseconds no_backend_delay{2000};
    /// Time from the start of a drain after which all credits granted before it, by this granter or
    /// a former one, are either confirmed or expired.
    std::chrono::milliseconds drain_settle{2500};
    /// How long a confirmation of an expired credit is still accepted.
    std::chrono::milliseconds late_confirmation_window{10'000};
    /// Requests for a model are refused once no replica has had it loaded for this long.
    std::chrono::milliseconds no_model_delay{2000};
    /// Unserved requests count as demand for their model for this long.
    std::chrono::milliseconds unserved_demand_window{10'000};
    /// Requests for models that only some replicas have loaded, bypassed in one granting round. A
    /// model whose replicas are full must not block the others, but each bypassed request costs a
    /// few us.
    std::size_t max_bypassed_by_model = 32;
    /// A request that no backend server can take now, for example because of its KV memory, may be
    /// bypassed by smaller ones for this long. After that, slots are kept free until it fits.
    std::chrono::milliseconds max_bypass_time{500};
    /// Requests that may be bypassed in one granting round, which bounds its cost.
    std::size_t max_bypassed = 4;
    /// Candidates listed with a grant in the log and in the message to its holder, best first. 64
    /// of them would add 1 KB to each grant.
    std::size_t max_logged_candidates = 8;
    /// The answers to holders contain the load of the slice. Only of use if there are others.
    bool reports_load = false;
    routing::routing_config routing;
};

struct credit_client_settings {
    std::string instance_id;
    /// Time after which an unanswered credit request is resent. Doubled with each resend, because
    /// most unanswered requests are waiting in the queue.
    std::chrono::milliseconds resend_after{1000};
    std::chrono::milliseconds max_resend_after{4000};
    /// A confirmation is sent this long before the credit would expire. By then most requests have
    /// ended, and their release makes it unnecessary. Zero: it is sent immediately.
    std::chrono::milliseconds confirm_before_expiry{0};
    /// Interval between reports of the credits in use, which reveal lost releases.
    std::chrono::milliseconds holdings_interval{5000};
    /// How long a request rate that a backend server advertised is reported to new granters.
    std::chrono::milliseconds remember_rates{30'000};
};

/// A holdings message with this many entries may be one of several; one with fewer is a complete
/// report. Below the peer protocol's limit of 4096 list elements.
constexpr std::size_t max_reported_holdings = 4000;

} // namespace almondline::granting
