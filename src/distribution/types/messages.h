#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace almondline::distribution {

/// States the manifest version that the sender holds, 0 for none.
struct announcement {
    std::int64_t version = 0;
    std::string digest;
};

/// Requests the text of this or a later version. Version 0 requests only an announcement.
struct body_request {
    std::int64_t version = 0;
};

struct body_chunk {
    std::int64_t version = 0;
    std::string digest; ///< of the whole text
    int chunk = 0;
    int chunk_count = 0;
    std::string data;
};

using message = std::variant<announcement, body_request, body_chunk>;

/// A complete manifest text with its digest.
struct manifest_copy {
    std::int64_t version = 0;
    std::string digest;
    std::string text;
};

} // namespace almondline::distribution
