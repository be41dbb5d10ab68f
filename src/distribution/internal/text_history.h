#pragma once

#include "distribution/types/messages.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace almondline::distribution {

/// Largest patch that is sent with an announcement, in bytes.
constexpr std::size_t max_announced_patch_bytes = 4 * 1024;

/// A text as it is sent to peers.
struct encoded_body {
    std::int64_t version = 0;
    std::string digest; ///< of the text
    /// As in body_chunk.
    std::optional<std::string> base_digest;
    std::string data;
};

/// Zstandard frames that lead from one text to another.
struct text_step {
    std::string base_digest;
    std::string digest;
    std::string patch;
};

/// The newest text of an instance and the patches that led to it. An instance forwards the patches
/// that it received and keeps a few of them for peers that are some versions behind.
struct text_history {
    std::shared_ptr<const manifest_copy> latest; ///< null before the first text
    std::deque<text_step> steps;                 ///< each starts where the one before ends
    std::shared_ptr<const encoded_body> whole;   ///< latest text, compressed; null until needed
};

/// Makes a text the latest one. received is the body that it was decoded from; if it is null or
/// plain, the patch from the text before is computed.
void add_text(text_history& history, std::shared_ptr<const manifest_copy> text,
              const encoded_body* received);

/// Makes an earlier text, which may be null, the latest one again.
void revert_text(text_history& history, std::shared_ptr<const manifest_copy> text);

/// Returns the last step if it leads to the latest text and is short enough for an announcement,
/// otherwise null.
const text_step* short_step(const text_history& history);

/// Encodes the latest text for a peer that holds the text with the given digest: the steps since
/// then if they are known, otherwise the whole text. Without a digest the body is plain.
std::shared_ptr<const encoded_body> encode_text(text_history& history,
                                                const std::optional<std::string>& base_digest);

} // namespace almondline::distribution
