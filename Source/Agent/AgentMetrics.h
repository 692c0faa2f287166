// The agent's metrics: call counters, and values that other components provide
// through callbacks.
#ifndef MANGOCART_AGENT_AGENTMETRICS_H
#define MANGOCART_AGENT_AGENTMETRICS_H

#include <cstdint>
#include <functional>

namespace mangocart {

class Counter;
class MetricRegistry;

// The registry owns the counters and exposes them from the start, also at zero.
struct AgentCounters {
  explicit AgentCounters(MetricRegistry &Metrics);

  Counter &m_Calls;
  Counter &m_Refused;
  Counter &m_Failed;
};

// Callbacks that run on every scrape of the metrics page, on any thread.
struct AgentMetricSources {
  std::function<std::uint64_t()> m_Outstanding;
  std::function<std::uint64_t()> m_ConfigurationVersion;
  std::function<std::uint64_t()> m_BytesSent;
  std::function<std::uint64_t()> m_BytesReceived;
};

void addMetricSources(MetricRegistry &Metrics, AgentMetricSources Sources);

} // namespace mangocart

#endif
