#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondline {

/// One publication of a manifest.
struct publication {
    std::int64_t version = 0;
    std::string publish_id; ///< random; part of the body's keys, identifies the publication
    std::string digest;     ///< SHA-256 of the text
    int chunk_count = 0;
    std::string operator_name;
    std::string published_at; ///< UTC by the operator's clock, "2026-01-31T12:00:00Z"
};

/// Content of the record `manifest/current` of the store.
struct manifest_pointer {
    publication current;
    std::vector<publication> history; ///< previous publications, newest first
};

constexpr const char* manifest_pointer_key = "manifest/current";
constexpr std::size_t max_history = 20;
constexpr int max_manifest_chunks = 16;

/// Returns the key of one chunk of a published text.
std::string manifest_chunk_key(const std::string& publish_id, int chunk);

std::string format_manifest_pointer(const manifest_pointer& pointer);

/// Returns nullopt if the text is not a valid pointer record.
std::optional<manifest_pointer> parse_manifest_pointer(std::string_view text);

} // namespace almondline
