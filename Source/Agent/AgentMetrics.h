// The agent's metrics: counters of its calls, and readings of what other parts
// count.
#ifndef MANGOCART_AGENT_AGENTMETRICS_H
#define MANGOCART_AGENT_AGENTMETRICS_H

#include <cstdint>
#include <functional>

namespace mangocart {

class Counter;
class MetricRegistry;

// Each counter lives in the registry and is shown from the start.
struct AgentCounters {
  explicit AgentCounters(MetricRegistry &Metrics);

  Counter &m_Calls;
  Counter &m_Refused;
  Counter &m_Broken;
};

// Called whenever the page is made, from any thread.
struct AgentReadings {
  std::function<std::uint64_t()> m_Outstanding;
  std::function<std::uint64_t()> m_ConfigurationVersion;
  std::function<std::uint64_t()> m_BytesSent;
  std::function<std::uint64_t()> m_BytesReceived;
};

void addReadings(MetricRegistry &Metrics, AgentReadings Readings);

} // namespace mangocart

#endif
