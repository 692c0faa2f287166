// The balancer process. It runs next to a replica, answers requests about its
// rank, and coordinates the rank group unless another balancer does.
#ifndef MANGOCART_BALANCER_BALANCERDAEMON_H
#define MANGOCART_BALANCER_BALANCERDAEMON_H

#include "Balancer/GroupCoordinator.h"
#include "Balancer/RankService.h"
#include "Core/WorkerPool.h"
#include "Daemon/ExitGate.h"
#include "Daemon/SettingsWatch.h"
#include "Entry/MembershipDirectory.h"
#include "Events/EventLog.h"
#include "Gateway/PlanHolder.h"
#include "Gateway/VoterWatch.h"
#include "Http/HttpServer.h"
#include "Metrics/MetricRegistry.h"
#include "Settings.pb.h"

namespace mangocart {

class CallerProtocol;

class BalancerDaemon {
public:
  BalancerDaemon(schema::BalancerSettings Settings, std::string SettingsFile,
                 const CallerProtocol &Callers, const EngineProtocol &Engines);
  ~BalancerDaemon();

  // Serves until a stop signal arrives; returns the exit code.
  ExitCode run();

private:
  bool listen();
  void serve();
  void runMaintenance();
  // Service that the replica on this machine announces; empty if unknown.
  const std::string &ownService();
  std::map<PeerEndpoint, PeerEndpoint> balancers(const std::string &Group);
  std::optional<ExpertLayout> layout();
  void settingsChanged(const std::string &Text);

  const schema::BalancerSettings m_Settings;
  const std::string m_SettingsFile;
  const PeerEndpoint m_Replica;
  const PeerEndpoint m_Self;
  WorkerPool m_Workers;
  EventLog m_Events;
  MetricRegistry m_Registry;
  PlanHolder m_Plans;
  MembershipDirectory m_Directory;
  HttpClient m_Client;
  RankService m_Service;
  PeerClient m_Peers;
  PeerServer m_Server;
  HttpServer m_MetricsServer;
  std::shared_ptr<VoterWatch> m_Watch;
  std::shared_ptr<GroupCoordinator> m_Coordinator;
  SettingsWatch m_SettingsWatch;
  Timer m_MaintenanceTimer;
  std::string m_OwnService;
  TimePoint m_OwnServiceReadAt;
  ExitGate m_Exit;
};

// Runs the program: command line, settings, daemon.
ExitCode runBalancer(int Argc, const char *const *Argv,
                     const CallerProtocol &Callers,
                     const EngineProtocol &Engines);

} // namespace mangocart

#endif
