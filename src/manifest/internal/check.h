#pragma once

#include "manifest/internal/json_reader.h"
#include "manifest/types/manifest.h"

namespace almondline::manifest_internal {

/// Checks the format of names and key hashes, and constraints that span several members, such as
/// unique names, references and sums.
void check_manifest(const manifest& m, error_collector& errors);

} // namespace almondline::manifest_internal
