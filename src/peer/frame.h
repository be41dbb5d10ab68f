#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace almondline {

namespace wire {
class envelope;
} // namespace wire

namespace peer {

/// Largest body of a frame. A manifest chunk of 1 MB and its fields fit.
constexpr std::size_t max_frame_bytes = 1'500'000;
/// Length in bytes of the body, big-endian.
constexpr std::size_t frame_header_bytes = 4;
/// Longest list in a message. Thrift allocates all elements of a list before it reads the first, so
/// that this bounds what a frame of a few bytes can allocate (about 1 MB for each list field).
constexpr std::size_t max_list_elements = 4096;

enum class frame_status {
    complete,
    incomplete,   ///< more bytes are needed
    keepalive,    ///< empty body
    unknown_kind, ///< well-formed, but its message is of a newer version
    too_large,    ///< body or list above the limit
    malformed
};

std::string_view to_string(frame_status status);

/// Appends the frame of a message. Returns complete or too_large; in the latter case nothing is
/// appended.
frame_status encode_frame(const wire::envelope& message, std::string& out);

/// Appends an empty frame, which tells the receiver only that the connection works.
void encode_keepalive(std::string& out);

/// Reads the length of the body from a header. Returns complete, incomplete or too_large.
frame_status decode_header(std::string_view data, std::size_t& body_bytes);

/// Reads the message of a body. Fields with unknown numbers are skipped.
frame_status decode_body(std::string_view body, wire::envelope& message);

} // namespace peer
} // namespace almondline
