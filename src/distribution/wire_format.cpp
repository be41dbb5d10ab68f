#include "distribution/wire_format.h"

#include "peer/wire.h"

#include <utility>

namespace almondline::distribution {

void to_wire(const message& content, wire::envelope& envelope)
{
    if (const auto* it = std::get_if<announcement>(&content)) {
        wire::manifest_announcement announced;
        announced.__set_version(it->version);
        announced.__set_digest(it->digest);
        if (!it->patch.empty()) {
            announced.__set_base_digest(it->base_digest);
            announced.__set_patch(it->patch);
        }
        if (it->is_busy) {
            announced.__set_busy(true);
        }
        envelope.__set_announcement(announced);
    }
    else if (const auto* request = std::get_if<body_request>(&content)) {
        wire::manifest_request requested;
        requested.__set_version(request->version);
        if (request->base_digest) {
            requested.__set_base_digest(*request->base_digest);
        }
        if (request->is_cancelled) {
            requested.__set_cancelled(true);
        }
        if (!request->resumed_digest.empty()) {
            requested.__set_resumed_digest(request->resumed_digest);
            requested.__set_first_chunk(request->first_chunk);
        }
        envelope.__set_body_request(requested);
    }
    else if (const auto* chunk = std::get_if<body_chunk>(&content)) {
        wire::manifest_body body;
        body.__set_version(chunk->version);
        body.__set_digest(chunk->digest);
        body.__set_chunk(chunk->chunk);
        body.__set_chunk_count(chunk->chunk_count);
        body.__set_data(chunk->data);
        if (chunk->base_digest) {
            body.__set_base_digest(*chunk->base_digest);
        }
        envelope.__set_body(body);
    }
}

bool from_wire(const wire::envelope& envelope, message& content)
{
    if (envelope.__isset.announcement) {
        const auto& it = envelope.announcement;
        content = announcement{it.version, it.digest, it.base_digest, it.patch, it.busy};
        return true;
    }
    if (envelope.__isset.body_request) {
        const auto& it = envelope.body_request;
        body_request request{it.version, std::nullopt, it.cancelled, it.resumed_digest,
                             it.first_chunk};
        if (it.__isset.base_digest) {
            request.base_digest = it.base_digest;
        }
        content = std::move(request);
        return true;
    }
    if (envelope.__isset.body) {
        const auto& it = envelope.body;
        body_chunk chunk{it.version, it.digest, it.chunk, it.chunk_count, it.data, std::nullopt};
        if (it.__isset.base_digest) {
            chunk.base_digest = it.base_digest;
        }
        content = std::move(chunk);
        return true;
    }
    return false;
}

} // namespace almondline::distribution
