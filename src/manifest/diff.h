#pragma once

#include "manifest/types/manifest.h"

#include <string>
#include <vector>

namespace almondline {

/// Differences as lines for people, in the order of the schema: "+ accounts[a] weight=1 ..." for
/// an added element, "- accounts[a]" for a removed one, "~ accounts[a].weight: 1 -> 2" for a
/// change. Empty if the manifests mean the same; formatting of the text does not count.
std::vector<std::string> diff_manifests(const manifest& before, const manifest& after);

} // namespace almondline
