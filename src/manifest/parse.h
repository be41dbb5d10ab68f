#pragma once

#include "common/types/parse_error.h"
#include "manifest/types/manifest.h"

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace almondline {

/// Largest manifest text in bytes. 840 accounts with 5 keys each take about 0.5 MB.
constexpr std::size_t max_manifest_bytes = 8'000'000;

/// Parses and checks the text of a manifest, and fills in its digest. The parse_error contains the
/// file, the line of a JSON error or the path of an invalid member, and the reason. Only the first
/// error is reported. docs/manifest.md describes the schema.
boost::leaf::result<manifest> parse_manifest(std::string_view text, const std::string& file);

/// Same as parse_manifest for callers outside a LEAF context. Fills in error and returns nullopt on
/// failure.
std::optional<manifest> try_parse_manifest(std::string_view text, const std::string& file,
                                           parse_error& error);

} // namespace almondline
