#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace almondline::distribution {

/// Largest text of a manifest, in bytes.
constexpr std::size_t max_text_bytes = 8 * 1024 * 1024;

/// Compresses a text as one zstd frame with the base as its dictionary, so that the frame is about
/// as large as the difference between the two. An empty base gives a frame of the whole text.
/// Returns an empty string if the library fails, for example for lack of memory.
std::string make_patch(std::string_view base, std::string_view text);

/// Applies consecutive frames of make_patch: the first to the base, each other one to the result of
/// the one before. Returns nullopt if a frame is malformed, was made from another base, or states a
/// text above max_text_bytes. The caller verifies the digest of the result.
std::optional<std::string> apply_patches(std::string base, std::string_view patches);

} // namespace almondline::distribution
