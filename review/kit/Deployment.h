// Starts voters, gateways and stand-in replicas as separate processes on
// loopback addresses, and plays the platform in front of the gateways.
#ifndef MANGOCART_REVIEW_DEPLOYMENT_H
#define MANGOCART_REVIEW_DEPLOYMENT_H

#include "Wire.h"

#include <atomic>
#include <map>
#include <set>
#include <thread>

#include <sys/types.h>

namespace review {

// A process that is killed with the object.
class Process {
public:
  Process() = default;
  // Arguments[0] is the program. Its output goes to the log file.
  Process(std::vector<std::string> Arguments, std::string Log);
  ~Process();
  Process(Process &&Other) noexcept;
  Process &operator=(Process &&Other) noexcept;

  void start();
  void signal(int Number) const;
  // Returns false if the process still runs after the time.
  bool waitForEnd(Milliseconds Longest);
  void kill();

private:
  std::vector<std::string> m_Arguments;
  std::string m_Log;
  pid_t m_Id = -1;
};

// Bounds of the deployment that the settings and the checks use, with the
// values of ceibos-mango.
struct Bounds {
  int m_HeartbeatMs = 1200;
  int m_GraceSeconds = 8;
  int m_LossSlackMs = 200;
  int m_StableWindowMs = 3000;
};

class Deployment {
public:
  // Files go to a temporary folder, which is removed at the end.
  Deployment(std::string Programs, std::string Kit, std::string RecordFile);
  ~Deployment();

  // Starts Voters voters and Gateways gateways in zones a, b and c by turns.
  void start(unsigned Voters, unsigned Gateways);
  // Returns false if the configuration isn't accepted in 20 s.
  bool putConfiguration(const std::string &Document);
  // Waits until the gateways are ready.
  bool waitUntilReady();
  // Starts a stand-in replica; Options are added to its command line.
  void startReplica(const std::string &Id, const std::string &Service,
                    const std::vector<std::string> &Options);

  Process &gateway(std::size_t Number) { return m_Gateways[Number]; }
  Process &replica(const std::string &Id) { return m_Replicas[Id]; }
  Endpoint gatewayFront(std::size_t Number) const;
  Endpoint gatewayReady(std::size_t Number) const;
  const Bounds &bounds() const { return m_Bounds; }
  Record &record() { return m_Record; }
  // Ends all processes.
  void stop();

private:
  std::string settingsOf(const std::string &Name, const std::string &Text);
  std::string logOf(const std::string &Name) const;
  std::string seedList() const;
  Endpoint voterControl(std::size_t Number) const;

  const Bounds m_Bounds;
  const std::string m_Programs;
  const std::string m_Kit;
  const std::string m_RecordFile;
  Record m_Record;
  std::string m_Folder;
  std::uint16_t m_ControlPort = 0;
  std::uint16_t m_FrontPort = 0;
  std::uint16_t m_ReadyPort = 0;
  std::uint16_t m_PeerPort = 0;
  std::uint16_t m_MetricsPort = 0;
  std::uint16_t m_ReplicaPort = 0;
  std::size_t m_VoterCount = 0;
  std::vector<Process> m_Voters;
  std::vector<Process> m_Gateways;
  std::map<std::string, Process> m_Replicas;
};

// Calls GET /ready of each gateway once a second, as the platform does: after
// two misses in a row a gateway gets no new connections.
class Rotation {
public:
  Rotation(const Deployment &Of, std::size_t Gateways);
  ~Rotation();

  bool isIn(std::size_t Gateway) const { return m_Misses[Gateway] < 2; }

private:
  std::vector<std::atomic<int>> m_Misses;
  std::atomic<bool> m_Stopped = false;
  std::vector<std::thread> m_Threads;
};

// The value of the environment variable TROUBLE isn't 0.
bool isTroubleWanted();

} // namespace review

#endif
