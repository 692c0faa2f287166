// The entry process: connects callers, agents, other entries, the replicated
// log, the administration API and the drain procedure.
#ifndef MANGOCART_ENTRY_ENTRYDAEMON_H
#define MANGOCART_ENTRY_ENTRYDAEMON_H

#include "Configuration/ConfigurationHolder.h"
#include "Core/WorkerPool.h"
#include "Daemon/DrainController.h"
#include "Daemon/ExitGate.h"
#include "Daemon/StartFailure.h"
#include "Entry/AdminApi.h"
#include "Entry/CallerFrontend.h"
#include "Entry/EntryContext.h"
#include "Entry/GossipService.h"
#include "Entry/MembershipDirectory.h"
#include "Events/EventLog.h"
#include "Http/HttpServer.h"
#include "Metrics/MetricRegistry.h"
#include "Net/PeerStream.h"
#include "Settings/SettingsError.h"
#include "State/DeploymentMachine.h"

#include <memory>

namespace mangocart {

class OrphanSettler;
class RaftRunner;
class ShareExchange;

class EntryDaemon {
public:
  // Opens the data folder; throws StartFailure if it cannot be used. The
  // warnings of the settings reader are logged as events.
  EntryDaemon(schema::EntrySettings Settings, std::uint64_t Incarnation,
              const SettingsWarnings &Warnings);
  ~EntryDaemon();

  // Serves until a signal requests termination; returns the exit code.
  ExitCode run();

private:
  std::unique_ptr<RaftRunner> openLog();
  bool listen();
  void addMethods();
  // Updates the capacity of admission control from the backend servers,
  // periodically.
  void updateCapacity();
  void configurationChanged(const schema::Configuration &Configuration);
  schema::AnnounceReply announced(const schema::Announcement &Message);
  AdminCallbacks adminCallbacks(std::string Token);
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
  std::unique_ptr<RaftRunner> m_Log;
  std::shared_ptr<AdmissionController> m_Admission;
  EntryCounters m_Counters;
  MetricRegistry m_Metrics;
  EntryContext m_Context;
  CallerFrontend m_Callers;
  AdminApi m_Admin;
  HttpServer m_CallerServer;
  HttpServer m_AdminServer;
  Timer m_CapacityTimer;
  std::shared_ptr<GossipService> m_Gossip;
  std::shared_ptr<OrphanSettler> m_Settler;
  std::shared_ptr<ShareExchange> m_Shares;
  DrainController m_Drain;
  std::atomic<bool> m_Leaving{false};
  ExitGate m_Exit;
};

// Runs the program: command line, settings, daemon.
ExitCode runEntry(int Argc, const char *const *Argv);

} // namespace mangocart

#endif
