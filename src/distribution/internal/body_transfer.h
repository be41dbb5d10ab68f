#pragma once

#include "common/clock.h"
#include "distribution/types/messages.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace almondline::distribution {

/// Largest part of a body in one message, in bytes. Well below the frame limit of 1.5 MB, and small
/// enough not to delay the probes queued behind it on a connection.
constexpr std::size_t chunk_bytes = 256 * 1024;
/// Largest body, in chunks. Sufficient for the largest manifest (8 MB).
constexpr int max_chunks = 32;

/// A body being received.
struct incoming_body {
    std::string peer;
    std::int64_t wanted = 0; ///< this version or a later one
    std::int64_t version = 0;
    std::string digest;
    std::vector<std::optional<std::string>> chunks;
    steady_time last_progress;
    steady_time started;
};

enum class chunk_result { incomplete, complete, invalid };

/// Adds a chunk. Returns invalid for a malformed chunk and for one that is inconsistent with the
/// chunks received before.
chunk_result add_chunk(incoming_body& body, const body_chunk& chunk, steady_time now);
std::size_t received_chunks(const incoming_body& body);
/// Joins the chunks of a complete body. Does not verify the digest.
manifest_copy join_chunks(const incoming_body& body);

/// A body being sent to one peer.
struct outgoing_body {
    std::string peer;
    std::shared_ptr<const manifest_copy> source;
    int next_chunk = 0;
};

struct addressed_chunk {
    std::string to;
    body_chunk chunk;
};
/// Returns the next chunk of the first transfer. Moves the transfer to the back of the queue, or
/// removes it after its last chunk.
addressed_chunk take_chunk(std::deque<outgoing_body>& transfers);

} // namespace almondline::distribution
