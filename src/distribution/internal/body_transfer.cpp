#include "distribution/internal/body_transfer.h"

#include "common/hash.h"
#include "distribution/internal/text_patch.h"

#include <algorithm>
#include <utility>

namespace almondline::distribution {

namespace {

// Credit that accumulates while nothing is sent: the queue is served at least every 50 ms.
constexpr std::chrono::duration<double> max_credit_time{0.05};

std::size_t received_bytes(const incoming_body& incoming)
{
    std::size_t total = 0;
    for (const auto& it : incoming.chunks) {
        total += it ? it->size() : 0;
    }
    return total;
}

void update_credit(transfer_queue& queue, steady_time now)
{
    const auto limit = std::max(queue.bytes_per_second * max_credit_time.count(),
                                static_cast<double>(chunk_bytes));
    const std::chrono::duration<double> elapsed = now - queue.credited;
    queue.credited = now;
    queue.credit_bytes =
        std::min(limit, queue.credit_bytes + elapsed.count() * queue.bytes_per_second);
}

/// Instances that only understand plain bodies accept at most 32 chunks.
std::size_t chunk_size_of(const encoded_body& body)
{
    return body.base_digest ? chunk_bytes : max_chunk_bytes;
}

int chunk_count_of(const encoded_body& body)
{
    const auto chunk_size = chunk_size_of(body);
    return static_cast<int>(
        std::max<std::size_t>(1, (body.data.size() + chunk_size - 1) / chunk_size));
}

std::size_t sent_bytes(const outgoing_body& transfer)
{
    return static_cast<std::size_t>(transfer.next_chunk) * chunk_size_of(*transfer.body);
}

} // namespace

chunk_result add_chunk(incoming_body& incoming, const body_chunk& chunk, steady_time now)
{
    auto& [version, digest, base_digest, data] = incoming.body;
    const bool is_well_formed = chunk.chunk_count >= 1 && chunk.chunk_count <= max_chunks &&
                                chunk.chunk >= 0 && chunk.chunk < chunk.chunk_count &&
                                chunk.data.size() <= max_chunk_bytes &&
                                chunk.version >= incoming.wanted;
    if (!is_well_formed) {
        return chunk_result::invalid;
    }
    if (chunk.chunk == 0 && chunk.version > version) {
        incoming.chunks.clear();
        incoming.resumed_chunk = -1;
    }
    if (incoming.chunks.empty()) {
        version = chunk.version;
        digest = chunk.digest;
        base_digest = chunk.base_digest;
        incoming.chunks.resize(static_cast<std::size_t>(chunk.chunk_count));
    }
    if (chunk.version != version || chunk.digest != digest || chunk.base_digest != base_digest ||
        incoming.chunks.size() != static_cast<std::size_t>(chunk.chunk_count) ||
        received_bytes(incoming) + chunk.data.size() > max_text_bytes) {
        return chunk_result::invalid;
    }
    incoming.chunks[static_cast<std::size_t>(chunk.chunk)] = chunk.data;
    incoming.last_progress = now;
    const bool is_complete = std::all_of(incoming.chunks.begin(), incoming.chunks.end(),
                                         [](const auto& it) { return it.has_value(); });
    return is_complete ? chunk_result::complete : chunk_result::incomplete;
}

std::size_t received_chunks(const incoming_body& incoming)
{
    return static_cast<std::size_t>(std::count_if(incoming.chunks.begin(), incoming.chunks.end(),
                                                  [](const auto& it) { return it.has_value(); }));
}

int first_missing_chunk(const incoming_body& incoming)
{
    const auto missing = std::find_if(incoming.chunks.begin(), incoming.chunks.end(),
                                      [](const auto& it) { return !it.has_value(); });
    return static_cast<int>(missing - incoming.chunks.begin());
}

bool is_stale(const incoming_body& incoming, const body_chunk& chunk)
{
    const bool needs_base = chunk.base_digest && !chunk.base_digest->empty();
    const bool has_base = incoming.base && incoming.base->digest == chunk.base_digest;
    return chunk.version < incoming.wanted || (needs_base && !has_base);
}

std::optional<manifest_copy> decode_body(incoming_body& incoming)
{
    for (const auto& it : std::exchange(incoming.chunks, {})) {
        incoming.body.data += it.value_or(std::string{});
    }
    return decode_text(incoming.body, incoming.base.get());
}

std::optional<manifest_copy> decode_text(const encoded_body& body, const manifest_copy* base)
{
    manifest_copy copy{body.version, body.digest, {}};
    if (!body.base_digest) {
        copy.text = body.data;
    }
    else {
        const bool needs_base = !body.base_digest->empty();
        if (needs_base && (base == nullptr || base->digest != *body.base_digest)) {
            return std::nullopt;
        }
        auto text = apply_patches(needs_base ? base->text : std::string{}, body.data);
        if (!text) {
            return std::nullopt;
        }
        copy.text = std::move(*text);
    }
    if (sha256_hex(copy.text) != copy.digest) {
        return std::nullopt;
    }
    return copy;
}

outgoing_body make_transfer(const std::string& peer, std::shared_ptr<const encoded_body> body,
                            const body_request& request)
{
    const bool is_resumed = request.resumed_digest == body->digest && request.first_chunk > 0 &&
                            request.first_chunk < chunk_count_of(*body);
    return {peer, std::move(body), is_resumed ? request.first_chunk : 0};
}

bool add_transfer(transfer_queue& queue, outgoing_body transfer)
{
    double ahead = 0;
    for (const auto& it : queue.transfers) {
        ahead += static_cast<double>(it.body->data.size() - sent_bytes(it));
    }
    const std::chrono::duration<double> limit = queue.max_wait;
    if (ahead > limit.count() * queue.bytes_per_second) {
        return false;
    }
    queue.transfers.push_back(std::move(transfer));
    return true;
}

void cancel_transfers(transfer_queue& queue, const std::string& peer)
{
    std::erase_if(queue.transfers, [&](const auto& it) { return it.peer == peer; });
}

std::optional<addressed_chunk> take_chunk(transfer_queue& queue, steady_time now)
{
    update_credit(queue, now);
    if (queue.transfers.empty() || queue.credit_bytes <= 0) {
        return std::nullopt;
    }
    auto& transfer = queue.transfers.front();
    const auto body = transfer.body;
    const auto count = chunk_count_of(*body);
    addressed_chunk taken{transfer.peer,
                          {body->version, body->digest, transfer.next_chunk, count,
                           body->data.substr(sent_bytes(transfer), chunk_size_of(*body)),
                           body->base_digest}};
    queue.credit_bytes -= static_cast<double>(taken.chunk.data.size());
    if (++transfer.next_chunk == count) {
        queue.transfers.pop_front();
    }
    return taken;
}

} // namespace almondline::distribution
