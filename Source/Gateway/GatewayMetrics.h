// Metrics of a gateway; docs/METRICS.md describes them.
#ifndef MANGOCART_GATEWAY_GATEWAYMETRICS_H
#define MANGOCART_GATEWAY_GATEWAYMETRICS_H

#include "Gateway/PriorityMetrics.h"
#include "Metrics/MetricRegistry.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace mangocart {

class MembershipDirectory;

// Classes of prompts by their number of tokens; the last one has no bound.
struct PromptSizeClass {
  std::uint64_t m_MaxTokens;
  const char *m_Name;
};
constexpr std::array<PromptSizeClass, 3> PromptSizeClasses = {
    {{512, "to_512"}, {2048, "to_2048"}, {0, "above_2048"}}};

// Index of the class.
std::size_t promptSizeClass(std::uint64_t Tokens);

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
  // Seconds from the arrival of a request for a stream to its first event, by
  // the size class of its prompt.
  std::array<Histogram *, PromptSizeClasses.size()> m_FirstEvent;
};

// Adds metrics of cold servers, which the directory counts.
void addColdMetrics(MetricRegistry &Registry,
                    const MembershipDirectory &Directory);
// Both show what the directory has accepted from the voters.
void addEvacuationMetrics(MetricRegistry &Registry,
                          const MembershipDirectory &Directory);

} // namespace mangocart

#endif
