#pragma once

#include "idempotency/types/messages.h"

namespace almondline {

namespace wire {
class envelope;
} // namespace wire

namespace idempotency {

/// Sets the envelope's field for the message: claim, claimed, query or outcome.
void to_wire(const message& content, wire::envelope& envelope);

/// Returns false if the envelope contains none of these messages.
bool from_wire(const wire::envelope& envelope, message& content);

} // namespace idempotency
} // namespace almondline
