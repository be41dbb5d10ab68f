#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace almondline::bench {

enum class outcome { open, finished, late, shed, deadline, account_limit, engine_refused, unknown };

struct simulated_request {
    std::uint64_t number = 0;
    std::string id;
    int entry = 0;
    int account = 0;
    int tier = 0;
    std::string kind;
    double prompt = 0;           ///< tokens
    double output = 0;           ///< tokens
    double estimated_output = 0; ///< estimate given to the scheduler
    double arrived = 0;          ///< s
    double deadline = 0;         ///< s
    std::vector<std::uint64_t> blocks;
    std::size_t shared_blocks = 0; ///< leading blocks shared with other requests

    outcome end = outcome::open;
    bool is_answered = false; ///< granted or refused
    int replica = -1;
    double dispatched = 0;
    double first_token = 0;
    double finished = 0;
    double prefilled = 0; ///< prompt tokens computed for it, including repetitions
    double repeated = 0;  ///< of these, tokens that some replica had computed before
};

/// Poisson arrivals from one source. Each stream has its own random generator, so that adding a
/// flood does not change the other requests.
struct stream_spec {
    double rate = 0;                    ///< requests/s
    std::vector<double> tier_shares;    ///< by tier
    std::vector<double> account_shares; ///< by account
    double from = 0;                    ///< s
    double to = 0;                      ///< s
    std::uint64_t seed = 1;
    int entry = -1; ///< the one that all callers use; -1: spread over all entries
};

class request_source {
public:
    request_source(stream_spec spec, int entries);
    /// Fills in the next request. Returns false at the end of the stream.
    bool next(simulated_request& request);

private:
    double log_uniform(double low, double high);

    stream_spec spec_;
    int entries_;
    double time_;
    std::uint64_t count_ = 0;
    std::mt19937_64 random_;
};

} // namespace almondline::bench
