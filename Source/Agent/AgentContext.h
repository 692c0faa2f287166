// State that all calls of an agent share. It outlives every call.
#ifndef MANGOCART_AGENT_AGENTCONTEXT_H
#define MANGOCART_AGENT_AGENTCONTEXT_H

#include "Http/HttpClients.h"
#include "Settings.pb.h"

namespace mangocart {

struct AgentCounters;
class CallGuard;
class EventLog;
class WorkerPool;

// Names a request to the backend server, which repeats it in its answer.
inline constexpr const char *BackendRequestHeader = "Mangocart-Request";

// Connections are kept only after answers that name their request: a server
// that writes an answer twice would otherwise answer the next request wrongly.
inline HttpClientOptions agentClientOptions() {
  HttpClientOptions Options;
  Options.m_KeepsUnnamed = false;
  return Options;
}

struct AgentContext {
  const schema::AgentSettings &m_Settings;
  WorkerPool &m_Workers;
  EventLog &m_Events;
  HttpClients &m_Clients;
  CallGuard &m_Guard;
  AgentCounters &m_Counters;

  HttpTarget backend() const {
    return {m_Settings.backend_address(),
            static_cast<std::uint16_t>(m_Settings.backend_port())};
  }
};

} // namespace mangocart

#endif
