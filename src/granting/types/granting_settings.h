#pragma once

#include "routing/types/replica.h"

#include <chrono>
#include <cstddef>
#include <string>

namespace almondline::granting {

struct granter_settings {
    std::string instance_id;
    std::string pool; ///< the slice that it owns
    /// A grant that is not confirmed for this long is taken back.
    std::chrono::milliseconds credit_lifetime{2000};
    /// The holder is told a lifetime shorter by this, so that its last possible confirmation still
    /// arrives in time. Covers the longest one-way delay within a region.
    std::chrono::milliseconds expiry_margin{200};
    /// A new granter queues asks but grants nothing for this long, so that holders can report what
    /// they have in progress first.
    std::chrono::milliseconds takeover_delay{300};
    /// A holder that sends nothing for this long is taken for dead, and its credits are released.
    /// Three of the holders' reports.
    std::chrono::milliseconds holder_timeout{15'000};
    /// Without any usable backend server for this long, asks are refused.
    std::chrono::milliseconds no_backend_delay{2000};
    /// A credit granted before a drain began, by this granter or a former one, is confirmed or
    /// expired after this time.
    std::chrono::milliseconds drain_settle{2500};
    /// How long a confirmation of an expired credit is still accepted.
    std::chrono::milliseconds late_confirmation{10'000};
    /// Asks for a model that no replica has loaded for this long are refused.
    std::chrono::milliseconds no_model_delay{2000};
    /// Refused asks count as demand for their model for this long.
    std::chrono::milliseconds unserved_window{10'000};
    /// Asks for models that only some replicas have, passed over in one round. A full model must
    /// not keep others waiting, but each ask that is passed costs a few us.
    std::size_t max_bypassed_by_model = 32;
    /// An ask that no backend server can take now, for example because of its KV memory, is passed
    /// by smaller ones for this long; then slots are kept until it fits.
    std::chrono::milliseconds max_bypass{500};
    /// Asks that may be passed over in one round. Bounds its cost.
    std::size_t max_bypassed = 4;
    /// Candidates that a grant names in the log and to its holder, the best first. 64 of them would
    /// add 1 KB to each grant.
    std::size_t max_logged_candidates = 8;
    routing::routing_config routing;
};

struct credit_client_settings {
    std::string instance_id;
    /// First repetition of an ask that got no answer. Doubled for each further one, because most
    /// unanswered asks are waiting in the queue.
    std::chrono::milliseconds resend_after{1000};
    std::chrono::milliseconds max_resend_after{4000};
    /// A confirmation is sent this long before the credit would expire: by then most requests have
    /// ended, and their release says the same. Zero: it is sent at once.
    std::chrono::milliseconds confirm_before_expiry{0};
    /// Between reports of the credits in use. A lost release is noticed after this time.
    std::chrono::milliseconds holdings_interval{5000};
};

/// A holdings message with this many entries may be one of several; a shorter one is complete.
/// Below the peers' limit of 4096 elements in a list.
constexpr std::size_t max_reported_holdings = 4000;

} // namespace almondline::granting
