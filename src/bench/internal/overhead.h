#pragma once

#include "common/settings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondline::bench {

struct overhead_options {
    ip_endpoint engine;               ///< called directly
    ip_endpoint plain;                ///< backend server of a plain service, called directly
    std::string plain_service;        ///< its name at the entries; empty: no comparison
    std::vector<ip_endpoint> entries; ///< each is compared with the direct calls
    std::vector<int> entry_pids;      ///< of the entries, for their processor time
    std::string key;                  ///< bearer key for the entries
    std::string model;
    int calls = 500;   ///< to each destination, one after the other
    int streams = 500; ///< to each destination, open at the same time
    int stream_tokens = 40;
};

/// Alternates calls through entry instances with direct calls to an engine, and prints tables of
/// the times to the first byte and to the complete response, the processor time, and the throughput
/// of many open streams. Returns false if a call failed.
bool run_overhead(const overhead_options& options);

} // namespace almondline::bench
