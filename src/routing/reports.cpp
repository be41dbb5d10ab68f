#include "routing/types/reports.h"

namespace almondline::routing {

std::string to_string(candidate_state state)
{
    switch (state) {
    case candidate_state::usable:
        return "usable";
    case candidate_state::probe:
        return "probe";
    case candidate_state::excluded:
        return "excluded";
    case candidate_state::leaving:
        return "leaving";
    case candidate_state::draining:
        return "draining";
    case candidate_state::other_model:
        return "other-model";
    case candidate_state::ejected:
        return "eased";
    case candidate_state::full:
        return "full";
    case candidate_state::out_of_kv:
        return "out-of-kv";
    case candidate_state::prefill_busy:
        return "prefill-busy";
    case candidate_state::rate_limited:
        return "rate-limited";
    }
    return "unknown";
}

} // namespace almondline::routing
