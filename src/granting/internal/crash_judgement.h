#pragma once

#include "granting/quarantine.h"

#include <optional>
#include <vector>

namespace almondline::granting {

bool is_quarantined(const quarantine_table& table, fingerprint id);

/// Returns the time of the last answer to a request with the fingerprint, as far as it is
/// remembered.
std::optional<steady_time> last_answer(const quarantine_table& table, fingerprint id);

/// Returns the fingerprint that explains most of the settled crashes which no quarantined one
/// explains, and those that can't be told apart from it; empty if nothing explains enough of them.
/// A fingerprint that was recently sound counts only if no other one explains enough.
std::vector<conviction> find_cause(const quarantine_table& table);

} // namespace almondline::granting
