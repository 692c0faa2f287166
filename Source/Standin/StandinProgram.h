// The program around the stand-in.
#ifndef MANGOCART_STANDIN_STANDINPROGRAM_H
#define MANGOCART_STANDIN_STANDINPROGRAM_H

#include "Core/ExitCode.h"

namespace mangocart {

// Runs until a signal ends it.
ExitCode runStandin(int ArgumentCount, const char *const *Arguments);

} // namespace mangocart

#endif
