// The load program.
#ifndef MANGOCART_LOAD_LOADPROGRAM_H
#define MANGOCART_LOAD_LOADPROGRAM_H

#include "Core/ExitCode.h"

namespace mangocart {

// Failed if any promise was broken.
ExitCode runLoadProgram(int ArgumentCount, const char *const *Arguments);

} // namespace mangocart

#endif
