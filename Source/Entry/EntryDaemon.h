// The entry process: wires callers, agents, other entries, the log, the
// administration API and the drain.
#ifndef MANGOCART_ENTRY_ENTRYDAEMON_H
#define MANGOCART_ENTRY_ENTRYDAEMON_H

#include "Configuration/ConfigurationHolder.h"
#include "Core/WorkerPool.h"
#include "Daemon/DrainController.h"
#include "Daemon/ExitGate.h"
#include "Entry/AdminFront.h"
#include "Entry/CallerFront.h"
#include "Entry/EntryContext.h"
#include "Entry/GossipService.h"
#include "Entry/MembershipDirectory.h"
#include "Events/EventLog.h"
#include "Http/HttpServer.h"
#include "Net/PeerStream.h"
#include "State/DeploymentMachine.h"

#include <memory>

namespace mangocart {

class ReplicatedLog;

class EntryDaemon {
public:
  EntryDaemon(schema::EntrySettings Settings, std::uint64_t Incarnation,
              std::string AdminToken);
  ~EntryDaemon();

  // Serves until a signal asks it to stop; returns the exit code.
  int run();

private:
  bool listen();
  void addMethods();
  void configurationChanged(const schema::Configuration &Configuration);
  schema::AnnounceReply announced(const schema::Announcement &Message);
  AdminSources adminSources(std::string Token);
  DrainActions drainActions();
  std::string statusPage() const;
  std::string metricsPage() const;

  const schema::EntrySettings m_Settings;
  WorkerPool m_Workers;
  EventLog m_Events;
  ConfigurationHolder m_Configuration;
  MembershipDirectory m_Directory;
  DeploymentMachine m_Machine;
  PeerClient m_Peers;
  PeerServer m_Server;
  std::unique_ptr<ReplicatedLog> m_Log;
  EntryCounters m_Counters;
  EntryContext m_Context;
  CallerFront m_Callers;
  AdminFront m_Admin;
  HttpServer m_CallerServer;
  HttpServer m_AdminServer;
  std::shared_ptr<GossipService> m_Gossip;
  DrainController m_Drain;
  std::atomic<bool> m_Leaving{false};
  ExitGate m_Exit;
};

// The whole program: command line, settings, daemon.
int runEntry(int Argc, const char *const *Argv);

} // namespace mangocart

#endif
