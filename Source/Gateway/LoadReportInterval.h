// Interval of the load reports between gateways.
#ifndef MANGOCART_GATEWAY_LOADREPORTINTERVAL_H
#define MANGOCART_GATEWAY_LOADREPORTINTERVAL_H

#include "Core/RuntimeClock.h"

#include <cstddef>

namespace mangocart {

// Each gateway reports to every other one. The interval grows with their
// number, so the reports that one gateway receives in a second don't.
Duration loadReportInterval(std::size_t Gateways);

} // namespace mangocart

#endif
