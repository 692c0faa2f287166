// Sends the requests of a run on several workers and collects the responses.
#ifndef MANGOCART_LOAD_LOADRUNNER_H
#define MANGOCART_LOAD_LOADRUNNER_H

#include "Load/LoadReport.h"

namespace mangocart {

// Blocks until every request has a response or an error.
LoadReport runLoad(const LoadOptions &Options);

} // namespace mangocart

#endif
