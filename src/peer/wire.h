#pragma once

// Includes the generated message types. They take long to compile, so only source files include
// this file; headers forward-declare almondline::wire::envelope. It is a system header to suppress
// warnings in the generated code.
#pragma GCC system_header

#include "generated/messages_types.h"
