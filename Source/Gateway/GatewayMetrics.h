// Counters and latencies of a gateway; docs/METRICS.md has their names.
#ifndef MANGOCART_GATEWAY_GATEWAYMETRICS_H
#define MANGOCART_GATEWAY_GATEWAYMETRICS_H

#include "Metrics/MetricRegistry.h"

namespace mangocart {

struct GatewayMetrics {
  explicit GatewayMetrics(MetricRegistry &Registry);

  Counter &m_Requests;
  Counter &m_Attempts;
  Counter &m_Repeats;
  Counter &m_TurnedAway;
  Counter &m_RefusedNotRun;
  Counter &m_FailedUnknown;
  Counter &m_FailedTimeout;
  Counter &m_Cut;
  Counter &m_HungUp;
  Counter &m_Resumed;
  // Seconds from the request's arrival to the first byte of its answer, and to
  // its end.
  Histogram &m_FirstByte;
  Histogram &m_Whole;
};

} // namespace mangocart

#endif
