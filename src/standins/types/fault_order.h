#pragma once

#include "common/types/parse_error.h"

#include <boost/leaf/result.hpp>
#include <chrono>
#include <string>
#include <string_view>

namespace almondline::standins {

enum class fault_kind {
    refuse_connections,
    reset_before,
    reset_during,
    reset_after,
    silence,
    cut_stream,
    delay,
    refuse_admission,
    outage,
    lost_answer
};

/// One order to inject a fault, from POST /standin/faults.
struct fault_order {
    fault_kind kind = fault_kind::delay;
    std::string method;                   ///< empty: any
    std::string path;                     ///< prefix, empty: any
    int count = 0;                        ///< number of requests affected, 0: no limit
    int after_events = 0;                 ///< cut_stream: events sent before the stream closes
    std::chrono::milliseconds duration{}; ///< 0: until it is cleared
    std::chrono::milliseconds delay{};    ///< delay: time before the request is handled
};

std::string_view to_text(fault_kind kind);

/// Parses the body of POST /standin/faults. The parse_error contains the name of the invalid
/// member.
boost::leaf::result<fault_order> parse_fault_order(std::string_view body);

} // namespace almondline::standins
