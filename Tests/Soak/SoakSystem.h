// Voters and gateways as processes, and the faults that a soak inflicts on
// them. Every fault is recorded with its time.
#ifndef MANGOCART_TESTS_SOAKSYSTEM_H
#define MANGOCART_TESTS_SOAKSYSTEM_H

#include "Core/Random.h"
#include "Gateways/GatewayProcess.h"
#include "Gateways/VoterDeployment.h"
#include "Processes/TemporaryFolder.h"

#include <chrono>
#include <mutex>

namespace mangocart::test {

using SoakClock = std::chrono::steady_clock;

// When processes were disturbed; thread-safe.
class FaultRecord {
public:
  void add() {
    const std::lock_guard Lock(m_Mutex);
    m_Times.push_back(SoakClock::now());
  }
  // Whether nothing was disturbed for this long before the time.
  bool isCalm(SoakClock::time_point At, std::chrono::milliseconds For) const {
    const std::lock_guard Lock(m_Mutex);
    for (const auto Each : m_Times)
      if (Each <= At && At - Each < For)
        return false;
    return true;
  }
  std::size_t count() const {
    const std::lock_guard Lock(m_Mutex);
    return m_Times.size();
  }

private:
  mutable std::mutex m_Mutex;
  std::vector<SoakClock::time_point> m_Times;
};

class SoakSystem {
public:
  // The version that start() leaves in force.
  static constexpr std::uint64_t FirstVersion = 2;
  static constexpr unsigned Voters = 3;

  SoakSystem(int Octet, unsigned Gateways, std::uint64_t Seed);
  SoakSystem(const SoakSystem &) = delete;
  SoakSystem &operator=(const SoakSystem &) = delete;

  // Starts all processes and waits until every gateway is ready.
  void start();
  HttpTarget control(unsigned Voter) const { return m_Voters.control(Voter); }
  HttpTarget gateway(unsigned Index) const;
  unsigned gatewayCount() const {
    return static_cast<unsigned>(m_Gateways.size());
  }
  std::string replicaAddress(unsigned Index) const;
  const FaultRecord &faults() const { return m_Faults; }
  unsigned lostDisks() const { return m_LostDisks; }

  // Kills, suspends and stops processes for this long, in series and at once,
  // but disturbs no more than one voter at a time, and at most one of them
  // loses its disk. Begins with a kill of the voter, if there is one. All
  // processes run at the end.
  void inflictFaults(std::chrono::milliseconds For,
                     std::optional<unsigned> FirstVoter);
  // A process that ended without being told to, or has taken more memory than
  // the smallest VMs have; empty if there is none.
  std::string findFailed() const;

private:
  void startGateway(unsigned Index);
  void disturbGateway(unsigned Index);
  void disturbVoter(unsigned Index);
  void killGatewaysBut(unsigned Index);
  void pauseRandomly(unsigned LeastMs, unsigned MostMs);

  const int m_Octet;
  Random m_Random;
  FaultRecord m_Faults;
  TemporaryFolder m_Folder;
  VoterDeployment m_Voters;
  // The voter whose disk was lost may lack the log while another one fails.
  bool m_IsDiskLost = false;
  unsigned m_LostDisks = 0;
  std::vector<std::unique_ptr<ChildProcess>> m_Gateways;
};

} // namespace mangocart::test

#endif
