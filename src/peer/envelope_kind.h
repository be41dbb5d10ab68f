#pragma once

#include <cstddef>
#include <string_view>

namespace almondline {

namespace wire {
class envelope;
} // namespace wire

namespace peer {

/// The kind of a message: the field that is set in its envelope. The values are the field numbers
/// in messages.thrift.
enum class envelope_kind {
    none = 0, ///< no field is set, or only one that this version does not know
    greeting,
    ping,
    ping_ack,
    announcement,
    body_request,
    body,
    ask,
    grant,
    refusal,
    confirmation,
    release,
    cancel,
    holdings,
    claim,
    claimed,
    query,
    outcome,
    explain,
    explained,
    demand,
    drain,
    servers_request,
    servers,
    server_report,
    quarantine,
    start,
    crashes
};

constexpr std::size_t envelope_kind_count = 28;

/// Returns the first field that is set, or none.
envelope_kind kind_of(const wire::envelope& message);

/// Returns the name of the field for logs and metrics.
std::string_view to_string(envelope_kind kind);

} // namespace peer
} // namespace almondline
