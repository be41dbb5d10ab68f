#pragma once

#include "common/types/verdict.h"
#include "gateway/types/call.h"
#include "manifest/types/manifest.h"

namespace almondline::gateway {

/// How callers and backend servers express requests and responses over HTTP. The functions have no
/// state.
struct call_protocol {
    call (*decode)(http_request request) = nullptr;
    http_request (*encode)(const call& what, const dispatch_metadata& order) = nullptr;
    reply_kind (*classify)(const call& what, const http_response& header) = nullptr;
    server_notice (*read_notice)(const http_response& header) = nullptr;
    /// How long callers of a stream wait for its first event, and for each further one.
    std::chrono::milliseconds (*stream_event_timeout)(const route_policy& route) = nullptr;
    /// Response that the system makes itself, with no server involved.
    http_response (*refuse)(const std::string& attempt_id, int status,
                            const refusal& why) = nullptr;
};

} // namespace almondline::gateway
