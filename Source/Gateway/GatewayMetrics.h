// Metrics of a gateway; docs/METRICS.md describes them.
#ifndef MANGOCART_GATEWAY_GATEWAYMETRICS_H
#define MANGOCART_GATEWAY_GATEWAYMETRICS_H

#include "Gateway/PriorityMetrics.h"
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
  PriorityMetrics m_Priorities;
};

// Adds metrics of cold servers, which the directory counts.
void addColdMetrics(MetricRegistry &Registry,
                    const MembershipDirectory &Directory);

} // namespace mangocart

#endif
