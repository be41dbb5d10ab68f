#pragma once

#include "common/settings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondline::bench {

struct overhead_options {
    ip_endpoint engine;               ///< asked directly
    ip_endpoint plain;                ///< server of a plain service, asked directly
    std::string plain_service;        ///< its name at the entries; empty: not compared
    std::vector<ip_endpoint> entries; ///< each is compared with the direct calls
    std::vector<int> entry_pids;      ///< of the entries, for their processor time
    std::string key;                  ///< bearer key for the entries
    std::string model;
    int calls = 500;   ///< of each kind, one after the other
    int streams = 500; ///< open at the same time
    int stream_tokens = 40;
};

/// Compares calls through entry instances with direct calls of an engine, alternating, and prints a
/// table: first byte and whole answer, processor time, and the throughput of many open streams.
/// Returns false if a call failed.
bool run_overhead(const overhead_options& options);

} // namespace almondline::bench
