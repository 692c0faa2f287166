// Main function of mangocart-standin.
#ifndef MANGOCART_STANDIN_STANDINPROGRAM_H
#define MANGOCART_STANDIN_STANDINPROGRAM_H

#include "Core/ExitCode.h"

namespace mangocart {

// Runs until SIGINT or SIGTERM.
ExitCode runStandin(int ArgumentCount, const char *const *Arguments);

} // namespace mangocart

#endif
