#pragma once

#include "membership/types/messages.h"

namespace almondline {

namespace wire {
class envelope;
} // namespace wire

namespace membership {

/// Sets the ping or the ping_ack of the envelope.
void to_wire(const probe_message& message, wire::envelope& envelope);

/// Returns false if the envelope holds neither a ping nor a ping_ack. Updates with an unknown state
/// or without an id are left out.
bool from_wire(const wire::envelope& envelope, probe_message& message);

} // namespace membership
} // namespace almondline
