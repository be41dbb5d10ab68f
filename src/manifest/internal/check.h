#pragma once

#include "manifest/internal/json_reader.h"
#include "manifest/types/manifest.h"

namespace almondline::manifest_internal {

/// Checks what a single member does not show: unique names, references and sums.
void check_manifest(const manifest& m, fault_collector& faults);

} // namespace almondline::manifest_internal
