#pragma once

#include "common/clock.h"
#include "distribution/internal/text_history.h"
#include "distribution/types/messages.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace almondline::distribution {

/// Largest part of a body in one message, in bytes. Well below the frame limit of 1.5 MB.
constexpr std::size_t max_chunk_bytes = 256 * 1024;
/// Part of a compressed body that is sent in one message, in bytes. Occupies a link of 20 Mbit/s
/// for 13 ms.
constexpr std::size_t chunk_bytes = 32 * 1024;
/// Largest body, in chunks of chunk_bytes. Sufficient for the largest manifest (8 MB).
constexpr int max_chunks = 256;

/// A body being received.
struct incoming_body {
    std::string peer;
    std::int64_t wanted = 0; ///< this version or a later one
    /// Text that this instance held when it sent the request, which patches may apply to.
    std::shared_ptr<const manifest_copy> base;
    steady_time started;
    steady_time last_progress;
    encoded_body body; ///< its data are empty until the chunks are joined
    std::vector<std::optional<std::string>> chunks;
    int resumed_chunk = -1; ///< missing chunk from which the pull was last resumed, -1 for none
};

enum class chunk_result { incomplete, complete, invalid };

/// Adds a chunk. The first chunk of a later version replaces the chunks received before. Returns
/// invalid for a malformed chunk, for one that is inconsistent with the chunks received before, and
/// for one that makes the body too large.
chunk_result add_chunk(incoming_body& incoming, const body_chunk& chunk, steady_time now);
std::size_t received_chunks(const incoming_body& incoming);
/// Returns the index of the first chunk that is missing.
int first_missing_chunk(const incoming_body& incoming);
/// Returns true if the chunk does not belong to this pull but to an earlier one of the same peer.
bool is_stale(const incoming_body& incoming, const body_chunk& chunk);
/// Joins the chunks of a complete body in incoming.body and decodes the text. Returns nullopt if
/// the body can't be decoded or the text does not match its digest.
std::optional<manifest_copy> decode_body(incoming_body& incoming);
/// Applies a body to its base, which may be null if the body needs none. Returns nullopt as above.
std::optional<manifest_copy> decode_text(const encoded_body& body, const manifest_copy* base);

/// A body being sent to one peer.
struct outgoing_body {
    std::string peer;
    std::shared_ptr<const encoded_body> body;
    int next_chunk = 0;
};

/// Bodies to be sent, first come, first served: a peer that has a complete body can forward it,
/// while two peers with a half each can't.
struct transfer_queue {
    double bytes_per_second = 0;
    std::chrono::milliseconds max_wait{0}; ///< of a request until its first chunk is sent
    std::deque<outgoing_body> transfers;
    double credit_bytes = 0; ///< may be sent now; negative after a chunk that exceeded it
    steady_time credited;
};

/// Returns the transfer that answers a request: from the first chunk on, or from the first one that
/// the peer is missing if it has the others of the same text.
outgoing_body make_transfer(const std::string& peer, std::shared_ptr<const encoded_body> body,
                            const body_request& request);
/// Adds a transfer. Returns false if the transfers before it take longer than max_wait.
bool add_transfer(transfer_queue& queue, outgoing_body transfer);
/// Removes the transfers to a peer.
void cancel_transfers(transfer_queue& queue, const std::string& peer);

struct addressed_chunk {
    std::string to;
    body_chunk chunk;
};
/// Returns the next chunk of the first transfer, or nullopt if there is none or the rate does not
/// allow it yet.
std::optional<addressed_chunk> take_chunk(transfer_queue& queue, steady_time now);

} // namespace almondline::distribution
