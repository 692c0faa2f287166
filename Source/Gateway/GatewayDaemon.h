// The gateway process: connects the caller endpoint, voters, backend servers,
// health check, metrics and drain.
#ifndef MANGOCART_GATEWAY_GATEWAYDAEMON_H
#define MANGOCART_GATEWAY_GATEWAYDAEMON_H

#include "Core/WorkerPool.h"
#include "Daemon/DrainController.h"
#include "Daemon/ExitGate.h"
#include "Daemon/SettingsWatch.h"
#include "Entry/MembershipDirectory.h"
#include "Events/EventLog.h"
#include "Gateway/AttemptMonitor.h"
#include "Gateway/CrashGuard.h"
#include "Gateway/GatewayContext.h"
#include "Gateway/GatewayMetrics.h"
#include "Gateway/LoadExchange.h"
#include "Gateway/PlanHolder.h"
#include "Gateway/RequestRouter.h"
#include "Gateway/ServiceDispatcher.h"
#include "Gateway/SuspensionDetector.h"
#include "Gateway/VoterWatch.h"
#include "Http/HttpClients.h"
#include "Http/HttpServer.h"
#include "Settings.pb.h"

#include <memory>

namespace mangocart {

class GatewayDaemon {
public:
  // The settings file is reloaded on a signal or when its content changes.
  GatewayDaemon(schema::GatewaySettings Settings, std::string SettingsFile,
                const CallerProtocol &Protocol);
  ~GatewayDaemon();

  // Serves until a stop signal is received; returns the exit code.
  ExitCode run();

private:
  bool listen();
  void runMaintenance();
  void dispatchPeriodically();
  bool isReady() const;
  void answerHealth(HttpExchange &Exchange) const;
  void planChanged(const RoutingPlan &Plan);
  void settingsChanged(const std::string &Text);
  DrainActions drainActions();

  const schema::GatewaySettings m_Settings;
  const std::string m_SettingsFile;
  WorkerPool m_Workers;
  EventLog m_Events;
  MetricRegistry m_Registry;
  GatewayMetrics m_Metrics;
  PlanHolder m_Plans;
  MembershipDirectory m_Directory;
  HttpClients m_Clients;
  ServiceDispatcher m_Dispatcher;
  RetryBudgets m_RetryBudgets;
  const std::shared_ptr<AttemptMonitor> m_AttemptMonitor;
  const std::shared_ptr<CrashGuard> m_CrashGuard;
  const std::shared_ptr<SuspensionDetector> m_Suspensions;
  const DrainLimits m_DrainLimits;
  std::atomic<TimePoint> m_DrainEnd{TimePoint::max()};
  GatewayContext m_Context;
  RequestRouter m_Router;
  HttpServer m_CallerServer;
  HttpServer m_HealthServer;
  HttpServer m_MetricsServer;
  PeerClient m_Peers;
  PeerServer m_PeerServer;
  std::shared_ptr<LoadExchange> m_LoadExchange;
  std::shared_ptr<VoterWatch> m_VoterWatch;
  SettingsWatch m_SettingsWatch;
  DrainController m_Drain;
  Timer m_MaintenanceTimer;
  Timer m_DispatchTimer;
  bool m_WasReady = false;
  ExitGate m_Exit;
};

// Entry point of the program: parses the command line, reads the settings and
// runs the daemon.
ExitCode runGateway(int Argc, const char *const *Argv,
                    const CallerProtocol &Protocol);

} // namespace mangocart

#endif
