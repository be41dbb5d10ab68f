#pragma once

#include <boost/asio/awaitable.hpp>

namespace almondline {
class http_exchange;
}

/// Processing of one request from admission to the final response: acquires a credit, sends the
/// request to the credit's backend server, forwards the response, and retries on another server
/// where the route allows it. Stops when the caller disconnects or the deadline passes.
///
/// The flow owns the caller's response. A request that may be repeated is also given to other
/// servers while all that have it are silent (a hedged request). It belongs to each of them until
/// one delivers the complete response or the next event of the stream; the others are ended then.
/// The next step is decided when all have failed.
namespace almondline::gateway {

struct gateway_context;
struct request_flow; ///< one request in progress

/// Processes a request and sends the response. Lists the request in the context meanwhile.
boost::asio::awaitable<void> run_request(gateway_context& context, http_exchange& exchange);

/// Must be called while the request waits for a credit and another manifest comes into force.
void note_manifest_change(request_flow& flow);

/// Must be called when the instance begins to stop.
void note_instance_stop(request_flow& flow);

} // namespace almondline::gateway
