// The voter process: connects the replicated log, the control endpoint and the
// gateways that watch this voter.
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
#include "Voter/CatchUpCheck.h"
#include "Voter/ControlFront.h"
#include "Voter/DepartureStore.h"
#include "Voter/DocumentMachine.h"
#include "Voter/WatchService.h"

#include <memory>
#include <set>

namespace mangocart {

class VoterDaemon {
public:
  // Opens the data folder; throws StartFailure if that fails.
  VoterDaemon(schema::VoterSettings Settings, std::string SettingsFile,
              const ControlProtocol &Protocol);
  ~VoterDaemon();

  // Runs until a signal stops it; returns the exit code.
  ExitCode run();

private:
  std::unique_ptr<RaftRunner> openLog();
  std::unique_ptr<DepartureStore> openDepartures();
  // Merges the departures that were on the disk at the start.
  void recoverDepartures();
  bool listen();
  // Begins a graceful stop: the process exits once a learner has replaced this
  // voter or none can.
  void stop();
  void exitAfterStop(bool IsTimeout);
  void runMaintenance();
  // Calls Done when the announcement may be acknowledged: at once, but for a
  // backend server that departs.
  void announced(const Member &Record, ConfirmationHandler Done);
  // Copies the record of a backend server that departs to the announcements
  // that gateways get and to the disk, so that it isn't lost with the voter
  // that has heard it. Returns false if the server doesn't depart.
  bool adoptDeparture(const std::string &BackendServer);
  // Calls Done on the worker once the departures known so far are on the disk,
  // or can't be written.
  void whenDeparturesStored(ConfirmationHandler Done);
  std::size_t requiredVoters() const;
  bool isKnownZone(const std::string &Zone) const;
  std::vector<std::string> memberNames() const;
  void addMetrics();
  PeerEndpoint ownEndpoint() const;
  std::vector<PeerEndpoint> seeds() const;
  void settingsChanged(const std::string &Text);
  void setNamedZones(const schema::VoterSettings &Settings);

  const schema::VoterSettings m_Settings;
  const std::string m_SettingsFile;
  // Availability zones named by the settings in force; used on the one worker.
  std::set<std::string> m_NamedZones;
  WorkerPool m_Workers;
  EventLog m_Events;
  MetricRegistry m_Registry;
  // Announcements of backend servers received by this voter, with the
  // departures that any voter has heard; and those received by any voter.
  MembershipDirectory m_LocalAnnouncements;
  MembershipDirectory m_AllAnnouncements;
  DocumentMachine m_Machine;
  PeerClient m_Peers;
  PeerServer m_Server;
  std::shared_ptr<WatchService> m_WatchService;
  std::shared_ptr<VoterWatch> m_OtherVoters;
  std::unique_ptr<RaftRunner> m_Log;
  // Opened after the log, which locks the data folder.
  std::unique_ptr<DepartureStore> m_Departures;
  std::shared_ptr<CatchUpCheck> m_CatchUp;
  ControlFront m_Front;
  HttpServer m_ControlServer;
  HttpServer m_MetricsServer;
  SettingsWatch m_SettingsWatch;
  Timer m_MaintenanceTimer;
  Timer m_StopTimer;
  // Valid once a stop has begun.
  TimePoint m_StopBegin;
  ExitGate m_Exit;
};

// Parses the command line, reads the settings and runs the daemon.
ExitCode runVoter(int Argc, const char *const *Argv,
                  const ControlProtocol &Protocol);

} // namespace mangocart

#endif
