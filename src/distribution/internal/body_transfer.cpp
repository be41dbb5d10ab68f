#include "distribution/internal/body_transfer.h"

#include <algorithm>
#include <utility>

namespace almondline::distribution {

chunk_result add_chunk(incoming_body& body, const body_chunk& chunk, steady_time now)
{
    const bool is_well_formed = chunk.chunk_count >= 1 && chunk.chunk_count <= max_chunks &&
                                chunk.chunk >= 0 && chunk.chunk < chunk.chunk_count &&
                                chunk.data.size() <= chunk_bytes && chunk.version >= body.wanted;
    if (!is_well_formed) {
        return chunk_result::invalid;
    }
    if (body.chunks.empty()) {
        body.version = chunk.version;
        body.digest = chunk.digest;
        body.chunks.resize(static_cast<std::size_t>(chunk.chunk_count));
    }
    if (chunk.version != body.version || chunk.digest != body.digest ||
        body.chunks.size() != static_cast<std::size_t>(chunk.chunk_count)) {
        return chunk_result::invalid;
    }
    body.chunks[static_cast<std::size_t>(chunk.chunk)] = chunk.data;
    body.last_progress = now;
    const bool is_complete = std::all_of(body.chunks.begin(), body.chunks.end(),
                                         [](const auto& it) { return it.has_value(); });
    return is_complete ? chunk_result::complete : chunk_result::incomplete;
}

std::size_t received_chunks(const incoming_body& body)
{
    return static_cast<std::size_t>(std::count_if(body.chunks.begin(), body.chunks.end(),
                                                  [](const auto& it) { return it.has_value(); }));
}

manifest_copy join_chunks(const incoming_body& body)
{
    manifest_copy copy{body.version, body.digest, {}};
    for (const auto& it : body.chunks) {
        copy.text += it.value_or(std::string{});
    }
    return copy;
}

addressed_chunk take_chunk(std::deque<outgoing_body>& transfers)
{
    auto transfer = std::move(transfers.front());
    transfers.pop_front();
    const auto& source = *transfer.source;
    const auto count =
        std::max<std::size_t>(1, (source.text.size() + chunk_bytes - 1) / chunk_bytes);
    const auto index = static_cast<std::size_t>(transfer.next_chunk);
    addressed_chunk taken{transfer.peer,
                          {source.version, source.digest, transfer.next_chunk,
                           static_cast<int>(count),
                           source.text.substr(index * chunk_bytes, chunk_bytes)}};
    if (++transfer.next_chunk < static_cast<int>(count)) {
        transfers.push_back(std::move(transfer));
    }
    return taken;
}

} // namespace almondline::distribution
