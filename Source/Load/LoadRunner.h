// Sends the requests of a run over a number of workers and collects the
// answers.
#ifndef MANGOCART_LOAD_LOADRUNNER_H
#define MANGOCART_LOAD_LOADRUNNER_H

#include "Load/LoadReport.h"

namespace mangocart {

// Blocks until every request has its answer or its error.
LoadReport runLoad(const LoadOptions &Options);

} // namespace mangocart

#endif
