#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace almondline::distribution {

/// The sender holds this version, 0 for none.
struct announcement {
    std::int64_t version = 0;
    std::string digest;
};

/// Asks for the text of this or a later version. Version 0 asks for an announcement only.
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

/// A complete text whose digest was checked.
struct manifest_copy {
    std::int64_t version = 0;
    std::string digest;
    std::string text;
};

} // namespace almondline::distribution
