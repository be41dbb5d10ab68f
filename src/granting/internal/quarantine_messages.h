#pragma once

#include "granting/types/quarantine_types.h"
#include "peer/wire.h"

#include <string>
#include <vector>

/// Conversion between quarantine messages and the module's types. Times that are out of range are
/// clamped, because they come from another process.
namespace almondline::granting {

wire::envelope make_decisions_message(const std::string& service,
                                      const std::vector<quarantine_decision>& decisions,
                                      steady_time now);
wire::envelope make_crash_message(const std::string& service, const crash_evidence& crash);
wire::envelope make_crash_history(const std::string& pool,
                                  const std::vector<crash_evidence>& crashes);

std::vector<quarantine_decision> read_decisions(const wire::quarantine_message& message,
                                                steady_time now);
std::vector<crash_evidence> read_crashes(const std::vector<wire::server_crash>& messages);
/// Returns evidence without parts if the release reports no crash.
crash_evidence read_crash(const wire::release_message& message);

} // namespace almondline::granting
