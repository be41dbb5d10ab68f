#pragma once

#include "common/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace almondline::granting {

/// Id of something that requests have in common and that may crash the servers which run them: a
/// part of the prompt, whatever comes before it, or the whole request (its method, target, account
/// and body).
using fingerprint = std::uint64_t;
using fingerprints = std::vector<fingerprint>;

/// Set in the fingerprints of whole requests and in no other, so that both fit in one list.
constexpr fingerprint whole_request_bit = std::uint64_t{1} << 63U;

inline bool is_whole_request(fingerprint id)
{
    return (id & whole_request_bit) != 0;
}

struct quarantine_settings {
    /// Crashes after which a fingerprint is quarantined if no request with it was answered since.
    int crashes_until_quarantine = 3;
    /// Crashes of one server that are reported within this time are the same crash.
    std::chrono::milliseconds crash_merge_window{1'000};
    /// Time after a crash in which all requests that ran on the server are reported. Before its
    /// end, the request that caused the crash may be the only one that is not known.
    std::chrono::milliseconds settle_time{500};
    /// A fingerprint with a complete answer counts as recently sound for this long, up to twice.
    std::chrono::milliseconds sound_period{30'000};
    /// The crashes of a recently sound fingerprint must span at least this time: when several
    /// servers crash at once for another reason, further answers follow sooner.
    std::chrono::milliseconds sound_crash_span{2'000};
    /// Fingerprints that explain this many crashes fewer than the best one are quarantined with it,
    /// as one of the crashes may have had another reason.
    int rival_slack = 1;
    /// Crashes are remembered for this long.
    std::chrono::milliseconds crash_memory{600'000};
    /// Time from the quarantine of a fingerprint until one request with it may run as a trial.
    std::chrono::milliseconds first_trial_after{30'000};
    /// The same for a fingerprint that was recently sound, and after a trial of one with rivals.
    std::chrono::milliseconds sound_trial_after{2'000};
    /// The interval is multiplied by this with each trial that crashes its server.
    int trial_interval_factor = 10;
    std::chrono::milliseconds max_trial_interval{3'600'000};
    /// A trial whose request neither crashed its server nor was answered is repeated after this
    /// time.
    std::chrono::milliseconds trial_timeout{5'000};
    /// A quarantined fingerprint is forgotten when no request with it has arrived for this long.
    std::chrono::milliseconds forget_after{3'600'000};
    /// How long the end of a quarantine is told to instances that may not know it.
    std::chrono::milliseconds remember_end{60'000};
    /// Decisions about a fingerprint with the same content and less time apart are the same one.
    std::chrono::milliseconds copy_delay{1'000};
    /// Sound fingerprints remembered, of prompt parts and of whole requests each, in each of two
    /// generations.
    std::size_t max_sound = 8'192;
    std::size_t max_crashes = 64; ///< at most 64, the bits of a mask
    /// Covers eight requests with the longest list of prompt parts that the gateways read.
    std::size_t max_suspects_per_crash = 2'048;
    /// Of all crashes together, beyond which the oldest crash is forgotten.
    std::size_t max_suspects = 16'384;
    std::size_t max_decisions = 256;
    std::size_t max_rivals = 8; ///< of a decision
    std::size_t max_running_trials = 64;
};

/// Crash of a backend server while it started to answer a request.
struct crash_evidence {
    std::string backend_id;
    fingerprints suspects;            ///< of the request
    std::chrono::milliseconds age{0}; ///< since it was noticed
};

/// Whether a fingerprint is quarantined, in a form that instances exchange. The newest decision
/// holds.
struct quarantine_decision {
    fingerprint id = 0;
    bool is_quarantined = false;
    steady_time decided_at{};
    steady_time last_seen{}; ///< last request with the fingerprint
    steady_time next_trial{};
    std::chrono::milliseconds trial_interval{0};
    /// Quarantined fingerprints that could not be told apart from this one: one of them is the
    /// cause. Empty if this one is.
    fingerprints rivals;
    bool is_trial_running = false; ///< as far as this instance knows; not exchanged
};

/// Decision of this instance to quarantine a fingerprint, with its evidence, for the log.
struct conviction {
    fingerprint id = 0;
    std::size_t crashes = 0;           ///< that the fingerprint explains
    std::chrono::milliseconds span{0}; ///< from the first to the last of them
    std::size_t rivals = 0;            ///< that could not be told apart from it
    bool was_sound = false; ///< a request with it was answered recently, before the crashes
    std::string last_backend;
};

/// Why and for how long a request has to wait.
struct quarantine_hold {
    std::chrono::milliseconds wait{0};
    fingerprint id = 0;
};

} // namespace almondline::granting
