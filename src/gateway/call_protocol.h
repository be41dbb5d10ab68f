#pragma once

#include "common/types/verdict.h"
#include "gateway/types/call.h"
#include "manifest/types/manifest.h"

namespace almondline::gateway {

/// Translation between the HTTP messages of callers and backend servers and the gateway's types.
/// The functions are stateless.
struct call_protocol {
    call (*decode)(http_request request) = nullptr;
    /// Builds the request to dispatch without its body, which is sent from the call.
    http_request (*encode)(const call& request, const dispatch_metadata& metadata) = nullptr;
    reply_kind (*classify)(const call& request, const http_response& header) = nullptr;
    server_notice (*read_notice)(const http_response& header) = nullptr;
    /// How long callers of a stream wait for the first event and for each further event.
    std::chrono::milliseconds (*stream_event_timeout)(const route_policy& route) = nullptr;
    /// Builds a response of the gateway itself, without a backend server.
    http_response (*refuse)(const std::string& attempt_id, int status,
                            const refusal& reason) = nullptr;
};

} // namespace almondline::gateway
