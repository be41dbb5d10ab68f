#pragma once

#include "membership/types/messages.h"

namespace almondline {

namespace wire {
class envelope;
} // namespace wire

namespace membership {

/// Sets the ping field of the envelope, or ping_ack if the message is an ack.
void to_wire(const probe_message& message, wire::envelope& envelope);

/// Returns false if the envelope contains neither a ping nor a ping_ack. Updates with an unknown
/// state or without an id are skipped.
bool from_wire(const wire::envelope& envelope, probe_message& message);

} // namespace membership
} // namespace almondline
