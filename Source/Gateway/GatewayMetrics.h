// Metrics of a gateway; docs/METRICS.md describes them.
#ifndef MANGOCART_GATEWAY_GATEWAYMETRICS_H
#define MANGOCART_GATEWAY_GATEWAYMETRICS_H

#include "Metrics/MetricRegistry.h"

namespace mangocart {

class MembershipDirectory;

struct GatewayMetrics {
  explicit GatewayMetrics(MetricRegistry &Registry);

  Counter &m_Requests;
  Counter &m_Attempts;
  Counter &m_Retries;
  Counter &m_Rejected;
  Counter &m_RejectedNotRun;
  Counter &m_FailedUnknown;
  Counter &m_FailedTimeout;
  Counter &m_Truncated;
  Counter &m_CallerDisconnects;
  Counter &m_Resumed;
  Counter &m_ServerCrashes;
  Counter &m_SuspectRejections;
  // Seconds from the arrival of a request to the first byte of its response,
  // and to its end.
  Histogram &m_FirstByte;
  Histogram &m_TotalTime;
};

// Both show what the directory has accepted from the voters.
void addEvacuationMetrics(MetricRegistry &Registry,
                          const MembershipDirectory &Directory);

} // namespace mangocart

#endif
