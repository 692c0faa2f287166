// Quantiles of callers' waiting times over a window, by service.
#ifndef MANGOCART_ENTRY_REQUESTMETRICS_H
#define MANGOCART_ENTRY_REQUESTMETRICS_H

#include "Core/RuntimeClock.h"

#include <string>

namespace mangocart {

class MetricRegistry;

// From the start of work on a request, its wait at the gate left out, to the
// head of its answer.
void observeFirstByte(MetricRegistry &Metrics, const std::string &Service,
                      Duration Time);
// From the start of work on a request, its wait at the gate left out, to the
// end of its answer.
void observeWhole(MetricRegistry &Metrics, const std::string &Service,
                  Duration Time);

} // namespace mangocart

#endif
