#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace almondline {

namespace wire {
class envelope;
} // namespace wire

namespace peer {

/// Largest body of a frame. A manifest chunk of 1 MB fits with its other fields.
constexpr std::size_t max_frame_bytes = 1'500'000;
/// The header is the length of the body in bytes, big-endian.
constexpr std::size_t frame_header_bytes = 4;
/// Longest list in a message. Thrift allocates all elements of a list before it reads the first, so
/// this limits what a frame of a few bytes can allocate to about 1 MB per list field.
constexpr std::size_t max_list_elements = 4096;

enum class frame_status {
    complete,
    incomplete,   ///< more bytes are needed
    keepalive,    ///< empty body
    unknown_kind, ///< well-formed, but without a message of a known kind
    too_large,    ///< body or list above the limit
    malformed
};

/// Returns the name for logs.
std::string_view to_string(frame_status status);

/// Appends the frame of a message. Returns complete or too_large; in the latter case nothing is
/// appended.
frame_status encode_frame(const wire::envelope& message, std::string& out);

/// Appends an empty frame, which only shows the receiver that the connection works.
void encode_keepalive(std::string& out);

/// Reads the length of the body from a header. Returns complete, incomplete or too_large.
frame_status decode_header(std::string_view data, std::size_t& body_bytes);

/// Decodes the message in a body. Fields with unknown numbers are skipped. Never returns
/// incomplete.
frame_status decode_body(std::string_view body, wire::envelope& message);

} // namespace peer
} // namespace almondline
