#pragma once

#include "idempotency/types/messages.h"

namespace almondline {

namespace wire {
class envelope;
} // namespace wire

namespace idempotency {

/// Sets the claim, claimed, query or outcome of the envelope.
void to_wire(const message& content, wire::envelope& envelope);

/// Returns false if the envelope holds none of the four.
bool from_wire(const wire::envelope& envelope, message& content);

} // namespace idempotency
} // namespace almondline
