#pragma once

#include "manifest/types/manifest.h"

#include <string>
#include <vector>

namespace almondline {

/// Returns the differences as human-readable lines: first "- accounts[a]" for each removed element,
/// then, in the order of the schema, "+ accounts[a] weight=1 ..." for an added element and
/// "~ accounts[a].weight: 1 -> 2" for a change. Empty if there is no difference; the formatting of
/// the text is ignored.
std::vector<std::string> diff_manifests(const manifest& before, const manifest& after);

} // namespace almondline
