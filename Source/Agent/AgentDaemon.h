// The agent process: connects call forwarding, order handling, announcements,
// the backend server probe and the drain.
#ifndef MANGOCART_AGENT_AGENTDAEMON_H
#define MANGOCART_AGENT_AGENTDAEMON_H

#include "Agent/AgentContext.h"
#include "Agent/AgentMetrics.h"
#include "Agent/Announcer.h"
#include "Agent/BackendProbe.h"
#include "Agent/CallGuard.h"
#include "Configuration/ConfigurationHolder.h"
#include "Core/WorkerPool.h"
#include "Daemon/DrainController.h"
#include "Daemon/ExitGate.h"
#include "Events/EventLog.h"
#include "Http/HttpServer.h"
#include "Metrics/MetricRegistry.h"
#include "Net/PeerStream.h"
#include "Settings/SettingsError.h"

namespace mangocart {

class OrderService;

class AgentDaemon {
public:
  // Logs an event for each warning of the settings reader.
  AgentDaemon(schema::AgentSettings Settings, std::uint64_t Incarnation,
              const SettingsWarnings &Warnings);
  ~AgentDaemon();

  // Serves until the drain or a signal ends the process; returns the exit code.
  ExitCode run();

private:
  bool listen();
  AnnouncedLoad currentLoad() const;
  void addMethods();
  void handleAdminRequest(HttpExchange &Exchange) const;
  void addMetrics();
  DrainActions drainActions();

  const schema::AgentSettings m_Settings;
  WorkerPool m_Workers;
  EventLog m_Events;
  ConfigurationHolder m_Configuration;
  CallGuard m_Guard;
  MetricRegistry m_Metrics;
  AgentCounters m_Counters;
  HttpClients m_Clients;
  AgentContext m_Context;
  PeerClient m_Peers;
  PeerServer m_Server;
  HttpServer m_Admin;
  std::shared_ptr<BackendProbe> m_Probe;
  std::shared_ptr<Announcer> m_Announcer;
  std::shared_ptr<OrderService> m_Orders;
  std::atomic<schema::Announcement::State> m_State{
      schema::Announcement::SERVING};
  DrainController m_Drain;
  ExitGate m_Exit;
};

// Entry point of mangocart-agent: parses the command line, reads the settings
// and runs the daemon.
ExitCode runAgent(int Argc, const char *const *Argv);

} // namespace mangocart

#endif
