// The deployment's state as the state machine of the replicated log, with a
// mutex so that other threads can read it. The mutex is a leaf of the lock
// order: no other lock is taken while it is held.
#ifndef MANGOCART_STATE_DEPLOYMENTSTATEMACHINE_H
#define MANGOCART_STATE_DEPLOYMENTSTATEMACHINE_H

#include "Raft/StateMachine.h"
#include "State/DeploymentState.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

namespace mangocart {

// The applied state of this voter or learner, which may lag behind the
// leader's.
class DeploymentStateMachine : public StateMachine {
public:
  // Called after a configuration with a higher version was applied or restored,
  // on the log thread, without the mutex held. Must be set before the log
  // starts.
  using ConfigurationHandler =
      std::function<void(const schema::Configuration &)>;
  void onConfiguration(ConfigurationHandler Handler);

  // A command that can't be parsed changes nothing and returns an empty reply.
  std::string apply(std::uint64_t Index, std::string_view Command) override;
  std::string snapshot() const override;
  // Throws std::invalid_argument if the bytes can't be parsed as a snapshot;
  // the state is unchanged then.
  void restore(std::string_view Bytes) override;
  std::unique_ptr<StateMachine> makeEmpty() const override;

  schema::Configuration configuration() const;
  std::uint64_t configurationVersion() const;
  // The leader time for a command that this process proposes as the leader of
  // the term.
  std::uint64_t commandTimeMs(std::uint64_t Term);
  // The replicated time; 0 before the first command.
  std::uint64_t timeMs() const;
  // The current map; a record without a group if there is none.
  schema::ExpertMapRecord expertMap(const std::string &Group) const;
  std::vector<schema::ExpertMapRecord> expertMaps() const;
  // See overdueClaims() in State/Ledger.h. TimeMs is the result of
  // commandTimeMs(), since only the leader settles claims.
  std::vector<OpenClaim> overdue(std::uint64_t TimeMs, std::uint64_t GraceMs,
                                 std::size_t MaxCount) const;
  std::size_t ledgerRecords() const;
  std::size_t ledgerBytes() const;
  std::size_t claimsInProgress() const;

private:
  void notifyConfiguration();

  mutable std::mutex m_Mutex;
  // Guarded by m_Mutex.
  DeploymentState m_State;
  // Started in m_ClockTerm; both guarded by m_Mutex.
  LeaderClock m_LeaderClock;
  std::uint64_t m_ClockTerm = 0;
  // Used only on the log thread.
  ConfigurationHandler m_OnConfiguration;
  std::uint64_t m_NotifiedVersion = 0;
};

} // namespace mangocart

#endif
