// The gateway process: wires callers, voters, backend servers, health check,
// metrics and the drain.
#ifndef MANGOCART_GATEWAY_GATEWAYDAEMON_H
#define MANGOCART_GATEWAY_GATEWAYDAEMON_H

#include "Core/WorkerPool.h"
#include "Daemon/DrainController.h"
#include "Daemon/ExitGate.h"
#include "Daemon/SettingsWatch.h"
#include "Entry/MembershipDirectory.h"
#include "Events/EventLog.h"
#include "Gateway/AttemptMonitor.h"
#include "Gateway/GatewayContext.h"
#include "Gateway/GatewayMetrics.h"
#include "Gateway/LoadExchange.h"
#include "Gateway/PlanHolder.h"
#include "Gateway/RequestRouter.h"
#include "Gateway/ServiceDispatcher.h"
#include "Gateway/VoterWatch.h"
#include "Http/HttpClients.h"
#include "Http/HttpServer.h"
#include "Settings.pb.h"

#include <memory>

namespace mangocart {

class GatewayDaemon {
public:
  // The file is read again when a signal says so or its text changes.
  GatewayDaemon(schema::GatewaySettings Settings, std::string SettingsFile,
                const CallerProtocol &Protocol);
  ~GatewayDaemon();

  // Serves until a signal asks it to stop; returns the exit code.
  ExitCode run();

private:
  bool listen();
  void tend();
  void pumpGates();
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
  ServiceGates m_Gates;
  RepeatBudgets m_Repeats;
  const std::shared_ptr<AttemptWatch> m_Attempts;
  std::atomic<bool> m_Leaving{false};
  GatewayContext m_Context;
  GatewayFront m_Front;
  HttpServer m_CallerServer;
  HttpServer m_HealthServer;
  HttpServer m_MetricsServer;
  PeerClient m_Peers;
  PeerServer m_PeerServer;
  std::shared_ptr<LoadExchange> m_Loads;
  std::shared_ptr<VoterWatch> m_Watch;
  SettingsWatch m_SettingsWatch;
  DrainController m_Drain;
  Timer m_TendTimer;
  Timer m_GateTimer;
  bool m_WasReady = false;
  ExitGate m_Exit;
};

// The whole program: command line, settings, daemon.
ExitCode runGateway(int Argc, const char *const *Argv,
                    const CallerProtocol &Protocol);

} // namespace mangocart

#endif
