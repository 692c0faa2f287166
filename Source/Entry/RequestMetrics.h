// Quantiles of response times over a time window, by service.
#ifndef MANGOCART_ENTRY_REQUESTMETRICS_H
#define MANGOCART_ENTRY_REQUESTMETRICS_H

#include "Core/RuntimeClock.h"

#include <string>

namespace mangocart {

class MetricRegistry;

// Time from the start of processing to the head of the answer, without the time
// in the admission queue.
void observeFirstByte(MetricRegistry &Metrics, const std::string &Service,
                      Duration Elapsed);
// Time from the start of processing to the end of the answer, without the time
// in the admission queue.
void observeCompletion(MetricRegistry &Metrics, const std::string &Service,
                       Duration Elapsed);

} // namespace mangocart

#endif
