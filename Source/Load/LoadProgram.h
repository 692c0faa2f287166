// Entry point of mangocart-load.
#ifndef MANGOCART_LOAD_LOADPROGRAM_H
#define MANGOCART_LOAD_LOADPROGRAM_H

#include "Core/ExitCode.h"

namespace mangocart {

// Returns Failed if any guarantee was violated or a run log cannot be read.
ExitCode runLoadProgram(int ArgumentCount, const char *const *Arguments);

} // namespace mangocart

#endif
