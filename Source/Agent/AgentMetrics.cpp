// Names and help texts of the agent's metrics, as listed in docs/METRICS.md.
#include "Agent/AgentMetrics.h"

#include "Metrics/MetricRegistry.h"

namespace mangocart {

AgentCounters::AgentCounters(MetricRegistry &Metrics)
    : m_Calls(Metrics.counter("mangocart_agent_calls_total",
                              "Calls that arrived from entries.")),
      m_Refused(Metrics.counter("mangocart_agent_refused_total",
                                "Calls answered with a refusal instead of the "
                                "backend server's answer.")),
      m_Failed(Metrics.counter("mangocart_agent_broken_total",
                               "Calls to the backend server that failed.")) {}

void addMetricSources(MetricRegistry &Metrics, AgentMetricSources Sources) {
  Metrics.gaugeFrom("mangocart_agent_outstanding",
                    "Calls in flight at the backend server.",
                    [Read = std::move(Sources.m_Outstanding)] {
                      return static_cast<double>(Read());
                    });
  Metrics.gaugeFrom("mangocart_agent_configuration_version",
                    "Version of the configuration in force here.",
                    [Read = std::move(Sources.m_ConfigurationVersion)] {
                      return static_cast<double>(Read());
                    });
  Metrics.counterFrom("mangocart_peer_bytes_sent_total",
                      "Bytes sent on connections to other processes.",
                      std::move(Sources.m_BytesSent));
  Metrics.counterFrom("mangocart_peer_bytes_received_total",
                      "Bytes received on connections to other processes.",
                      std::move(Sources.m_BytesReceived));
}

} // namespace mangocart
