#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace almondline::distribution {

/// States the newest version that the sender holds, 0 for none.
struct announcement {
    std::int64_t version = 0;
    std::string digest;
    std::string base_digest; ///< of the text that the patch applies to
    std::string patch;       ///< Zstandard frames, empty if they are too long to announce
    bool is_busy = false;    ///< the sender does not serve the receiver's request now
};

/// Requests the text of this or a later version. Version 0 requests only an announcement.
struct body_request {
    std::int64_t version = 0;
    /// Digest of the text that the sender holds, empty for none. Unset if the sender only
    /// understands uncompressed bodies.
    std::optional<std::string> base_digest;
    bool is_cancelled = false; ///< the sender no longer waits for the body requested before
    /// Digest of a text whose chunks before first_chunk the sender has, empty for none.
    std::string resumed_digest;
    int first_chunk = 0;
};

struct body_chunk {
    std::int64_t version = 0;
    std::string digest; ///< of the whole text
    int chunk = 0;
    int chunk_count = 0;
    std::string data;
    /// Set if the joined data are Zstandard frames, not the text: digest of the text that they
    /// apply to, empty for none.
    std::optional<std::string> base_digest;
};

using message = std::variant<announcement, body_request, body_chunk>;

/// A complete manifest text with its digest.
struct manifest_copy {
    std::int64_t version = 0;
    std::string digest;
    std::string text;
};

} // namespace almondline::distribution
