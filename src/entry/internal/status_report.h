#pragma once

#include "granting/pools.h"
#include "membership/member_table.h"
#include "store/types/store_limits.h"

#include <boost/json/object.hpp>
#include <string>

namespace almondline::entry {

/// Inputs of the status report.
struct status_sources {
    const membership::member_table& members;
    const granting::pools& owned_pools;
    const granting::credit_client& credit_client;
    const store_call_counts& store_calls;
    std::int64_t manifest_version = 0;
    std::string manifest_digest;
    std::string manifest_name;
    bool is_draining = false;
    bool is_watcher = false; ///< reads the store on behalf of its failure domain
    boost::json::object placement;
};

/// Returns the JSON body of the response to GET /operator/status.
std::string make_status_report(const status_sources& sources);

} // namespace almondline::entry
