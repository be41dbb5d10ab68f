#include "distribution/wire_format.h"

#include "peer/wire.h"

namespace almondline::distribution {

void to_wire(const message& content, wire::envelope& envelope)
{
    if (const auto* it = std::get_if<announcement>(&content)) {
        wire::manifest_announcement announced;
        announced.__set_version(it->version);
        announced.__set_digest(it->digest);
        envelope.__set_announcement(announced);
    }
    else if (const auto* request = std::get_if<body_request>(&content)) {
        wire::manifest_request requested;
        requested.__set_version(request->version);
        envelope.__set_body_request(requested);
    }
    else if (const auto* chunk = std::get_if<body_chunk>(&content)) {
        wire::manifest_body body;
        body.__set_version(chunk->version);
        body.__set_digest(chunk->digest);
        body.__set_chunk(chunk->chunk);
        body.__set_chunk_count(chunk->chunk_count);
        body.__set_data(chunk->data);
        envelope.__set_body(body);
    }
}

bool from_wire(const wire::envelope& envelope, message& content)
{
    if (envelope.__isset.announcement) {
        content = announcement{envelope.announcement.version, envelope.announcement.digest};
        return true;
    }
    if (envelope.__isset.body_request) {
        content = body_request{envelope.body_request.version};
        return true;
    }
    if (envelope.__isset.body) {
        const auto& it = envelope.body;
        content = body_chunk{it.version, it.digest, it.chunk, it.chunk_count, it.data};
        return true;
    }
    return false;
}

} // namespace almondline::distribution
