#pragma once

// Includes the generated message types. Compiling them takes long: for source files only; headers
// forward-declare almondline::wire::envelope.
// As a system header it is exempt from the warnings that the generated code would cause.
#pragma GCC system_header

#include "generated/messages_types.h"
