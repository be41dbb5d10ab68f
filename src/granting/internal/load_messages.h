#pragma once

#include "balance/types/slice_load.h"
#include "peer/wire.h"
#include "routing/types/replica.h"
#include "scheduling/types/queue_state.h"
#include "scheduling/types/results.h"

/// The load of a slice, as its granter attaches it to its answers.
namespace almondline::granting {

balance::slice_load make_slice_load(const scheduling::queue_state& queue,
                                    const scheduling::slot_view& slots);

wire::slice_load to_wire(const balance::slice_load& load);

/// Clamps values that are out of range, because they come from another process.
balance::slice_load from_wire(const wire::slice_load& message);

} // namespace almondline::granting
