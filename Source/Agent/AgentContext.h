// What the calls at an agent share. Outlives every call.
#ifndef MANGOCART_AGENT_AGENTCONTEXT_H
#define MANGOCART_AGENT_AGENTCONTEXT_H

#include "Http/HttpClient.h"
#include "Settings.pb.h"

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <memory>

namespace mangocart {

struct AgentCounters;
class CallGuard;
class EventLog;
class WorkerPool;

// HTTP clients to the backend server, one a worker, so that a call never
// changes threads.
class BackendClients {
public:
  explicit BackendClients(WorkerPool &Workers);
  HttpClient &on(const boost::asio::any_io_executor &Executor);

private:
  // Filled before the workers start, then only read.
  std::map<const boost::asio::execution_context *, std::unique_ptr<HttpClient>>
      m_Clients;
};

struct AgentContext {
  const schema::AgentSettings &m_Settings;
  WorkerPool &m_Workers;
  EventLog &m_Events;
  BackendClients &m_Clients;
  CallGuard &m_Guard;
  AgentCounters &m_Counters;

  HttpTarget backend() const {
    return {m_Settings.backend_address(),
            static_cast<std::uint16_t>(m_Settings.backend_port())};
  }
};

} // namespace mangocart

#endif
