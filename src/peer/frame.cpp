#include "peer/frame.h"

#include "peer/envelope_kind.h"
#include "peer/wire.h"

#include <algorithm>
#include <memory>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace almondline::peer {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

// Messages are nested 4 levels deep. Unknown fields, which are skipped, may be nested deeper, but
// each level uses stack space.
constexpr int max_nesting_depth = 16;

std::shared_ptr<TConfiguration> make_configuration()
{
    return std::make_shared<TConfiguration>(static_cast<int>(max_frame_bytes),
                                            static_cast<int>(max_frame_bytes), max_nesting_depth);
}

std::size_t max_model_list_size(const wire::pool_demand& demand)
{
    std::size_t longest = 0;
    for (const auto& it : demand.replicas) {
        longest = std::max(longest, it.models.size());
    }
    return longest;
}

std::size_t max_list_size(const wire::envelope& message)
{
    return std::max({message.ping.updates.size(), message.ping_ack.updates.size(),
                     message.ask.prefix_blocks.size(), message.ask.prefix_tokens.size(),
                     message.ask.excluded.size(), message.servers.servers.size(),
                     message.grant.candidates.size(), message.holdings.holdings.size(),
                     message.explained.lines.size(), message.demand.loads.size(),
                     message.demand.replicas.size(), message.drain.replicas.size(),
                     message.ask.prompt_parts.size(), message.release.crashed_parts.size(),
                     message.quarantine.decisions.size(), message.quarantine.crashes.size(),
                     message.crashes.crashes.size(), max_model_list_size(message.demand)});
}

void append_header(std::size_t body_bytes, std::string& out)
{
    for (int shift = 24; shift >= 0; shift -= 8) {
        out.push_back(static_cast<char>((body_bytes >> shift) & 0xff));
    }
}

} // namespace

std::string_view to_string(frame_status status)
{
    switch (status) {
    case frame_status::complete:
        return "complete";
    case frame_status::incomplete:
        return "incomplete";
    case frame_status::keepalive:
        return "keepalive";
    case frame_status::unknown_kind:
        return "unknown-kind";
    case frame_status::too_large:
        return "too-large";
    case frame_status::malformed:
        break;
    }
    return "malformed";
}

frame_status encode_frame(const wire::envelope& message, std::string& out)
{
    if (max_list_size(message) > max_list_elements) {
        return frame_status::too_large;
    }
    try {
        const auto buf = std::make_shared<TMemoryBuffer>(make_configuration());
        TCompactProtocolT<TMemoryBuffer> protocol{buf};
        message.write(&protocol);
        std::uint8_t* data = nullptr;
        std::uint32_t n = 0;
        buf->getBuffer(&data, &n);
        if (n > max_frame_bytes) {
            return frame_status::too_large;
        }
        append_header(n, out);
        out.append(data, data + n);
        return frame_status::complete;
    }
    catch (const std::exception&) {
        // The buffer throws if it would grow above its maximum size.
        return frame_status::too_large;
    }
}

void encode_keepalive(std::string& out)
{
    append_header(0, out);
}

frame_status decode_header(std::string_view data, std::size_t& body_bytes)
{
    if (data.size() < frame_header_bytes) {
        return frame_status::incomplete;
    }
    body_bytes = 0;
    for (const char it : data.substr(0, frame_header_bytes)) {
        body_bytes = body_bytes << 8 | static_cast<unsigned char>(it);
    }
    return body_bytes > max_frame_bytes ? frame_status::too_large : frame_status::complete;
}

frame_status decode_body(std::string_view body, wire::envelope& message)
{
    if (body.empty()) {
        return frame_status::keepalive;
    }
    if (body.size() > max_frame_bytes) {
        return frame_status::too_large;
    }
    try {
        const auto n = static_cast<std::uint32_t>(body.size());
        // The buffer only observes the bytes; its interface has no pointer to const.
        auto* data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(body.data()));
        const auto buf =
            std::make_shared<TMemoryBuffer>(data, n, TMemoryBuffer::OBSERVE, make_configuration());
        // Each list element takes at least one byte, and no string is longer than the body.
        const auto max_list = std::min(body.size(), max_list_elements);
        TCompactProtocolT<TMemoryBuffer> protocol{buf, static_cast<std::int32_t>(n),
                                                  static_cast<std::int32_t>(max_list)};
        message.read(&protocol);
        if (buf->available_read() != 0) {
            return frame_status::malformed;
        }
    }
    catch (const std::exception&) {
        return frame_status::malformed;
    }
    return kind_of(message) == envelope_kind::none ? frame_status::unknown_kind
                                                   : frame_status::complete;
}

} // namespace almondline::peer
