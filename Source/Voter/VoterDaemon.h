// The voter process: wires the replicated log, the control endpoint and the
// gateways that watch.
#ifndef MANGOCART_VOTER_VOTERDAEMON_H
#define MANGOCART_VOTER_VOTERDAEMON_H

#include "Core/WorkerPool.h"
#include "Daemon/ExitGate.h"
#include "Daemon/SettingsWatch.h"
#include "Entry/MembershipDirectory.h"
#include "Events/EventLog.h"
#include "Http/HttpServer.h"
#include "Metrics/MetricRegistry.h"
#include "Raft/RaftRunner.h"
#include "Settings.pb.h"
#include "Voter/ControlFront.h"
#include "Voter/DocumentMachine.h"
#include "Voter/WatchService.h"

#include <memory>

namespace mangocart {

class VoterDaemon {
public:
  // Opens the data folder; throws StartFailure when it can't be used.
  VoterDaemon(schema::VoterSettings Settings, std::string SettingsFile,
              const ControlProtocol &Protocol);
  ~VoterDaemon();

  // Serves until a signal asks it to stop; returns the exit code.
  ExitCode run();

private:
  std::unique_ptr<RaftRunner> openLog();
  bool listen();
  void tend();
  void announced(const Member &Record);
  std::vector<std::string> memberNames() const;
  void addMetrics();
  PeerEndpoint ownEndpoint() const;
  std::vector<PeerEndpoint> seeds() const;
  void settingsChanged(const std::string &Text);

  const schema::VoterSettings m_Settings;
  const std::string m_SettingsFile;
  WorkerPool m_Workers;
  EventLog m_Events;
  MetricRegistry m_Registry;
  // What backend servers announced here, and to any voter.
  MembershipDirectory m_HeardHere;
  MembershipDirectory m_HeardAnywhere;
  DocumentMachine m_Machine;
  PeerClient m_Peers;
  PeerServer m_Server;
  std::shared_ptr<WatchService> m_Watchers;
  std::shared_ptr<VoterWatch> m_OtherVoters;
  std::unique_ptr<RaftRunner> m_Log;
  ControlFront m_Front;
  HttpServer m_ControlServer;
  HttpServer m_MetricsServer;
  SettingsWatch m_SettingsWatch;
  Timer m_TendTimer;
  ExitGate m_Exit;
};

// The whole program: command line, settings, daemon.
ExitCode runVoter(int Argc, const char *const *Argv,
                  const ControlProtocol &Protocol);

} // namespace mangocart

#endif
