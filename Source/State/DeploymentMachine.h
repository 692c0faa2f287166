// The deployment's state behind the interface that the replicated log applies
// to, with a mutex so that other threads may read it. The mutex is a leaf of
// the lock order: nothing else is locked while it is held.
#ifndef MANGOCART_STATE_DEPLOYMENTMACHINE_H
#define MANGOCART_STATE_DEPLOYMENTMACHINE_H

#include "Raft/StateMachine.h"
#include "State/DeploymentState.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

namespace mangocart {

// The applied state of this voter or learner. What it reads may be behind the
// leader's.
class DeploymentMachine : public StateMachine {
public:
  // Called after a higher configuration was applied or restored, on the thread
  // of the log, without the mutex. Set it before the log starts.
  using ConfigurationHandler =
      std::function<void(const schema::Configuration &)>;
  void onConfiguration(ConfigurationHandler Handler);

  // A command that can't be parsed changes nothing and gets an empty reply.
  std::string apply(std::uint64_t Index, std::string_view Command) override;
  std::string snapshot() const override;
  // Throws std::invalid_argument if the bytes are no snapshot; the state is
  // unchanged then.
  void restore(std::string_view Bytes) override;
  std::unique_ptr<StateMachine> makeEmpty() const override;

  schema::Configuration configuration() const;
  std::uint64_t configurationVersion() const;
  // Time for a command that this process proposes as the leader of the term.
  std::uint64_t commandTimeMs(std::uint64_t Term);
  // The replicated time; zero before the first command.
  std::uint64_t timeMs() const;
  // The map in force; a record without a group when there is none.
  schema::ExpertMapRecord expertMap(const std::string &Group) const;
  std::vector<schema::ExpertMapRecord> expertMaps() const;
  // See overdueClaims() in State/Ledger.h; counted against the replicated time
  // that the caller, as the leader, would stamp on a command now.
  std::vector<OpenClaim> overdue(std::uint64_t TimeMs, std::uint64_t GraceMs,
                                 std::size_t MaxCount) const;
  std::size_t ledgerRecords() const;
  std::size_t ledgerBytes() const;
  std::size_t claimsInProgress() const;

private:
  void reportConfiguration();

  mutable std::mutex m_Mutex;
  // Guarded by m_Mutex.
  DeploymentState m_State;
  // Started in m_ClockTerm; guarded by m_Mutex.
  LeaderClock m_LeaderClock;
  std::uint64_t m_ClockTerm = 0;
  // Used only on the thread of the log.
  ConfigurationHandler m_OnConfiguration;
  std::uint64_t m_ReportedVersion = 0;
};

} // namespace mangocart

#endif
