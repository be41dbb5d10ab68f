#pragma once

#include "distribution/types/messages.h"

namespace almondline {

namespace wire {
class envelope;
} // namespace wire

namespace distribution {

/// Sets the announcement, body_request or body of the envelope.
void to_wire(const message& content, wire::envelope& envelope);

/// Reads the message that to_wire has set. Returns false if the envelope contains none of the
/// three.
bool from_wire(const wire::envelope& envelope, message& content);

} // namespace distribution
} // namespace almondline
