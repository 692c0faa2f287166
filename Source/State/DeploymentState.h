// The replicated state: configuration, ledger, expert maps and fencing numbers.
// apply() is deterministic: it depends only on the commands applied so far, so
// every voter computes the same state.
#ifndef MANGOCART_STATE_DEPLOYMENTSTATE_H
#define MANGOCART_STATE_DEPLOYMENTSTATE_H

#include "Core/RuntimeClock.h"
#include "Log.pb.h"
#include "State/ConfigurationRegister.h"
#include "State/ExpertMapRegister.h"
#include "State/Ledger.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace mangocart {

struct DeploymentState {
  ConfigurationRegister m_Configuration;
  Ledger m_Ledger;
  ExpertMapRegister m_ExpertMaps;
  // The highest fencing number issued; never decreases.
  std::uint64_t m_LastFencingNumber = 0;
  // The current fencing number by the name that it was issued for; never
  // decreases.
  std::map<std::string, std::uint64_t> m_Fences;
  // The replicated time: the highest leader_time_ms applied. Never decreases,
  // even if the clock of a new leader is behind.
  std::uint64_t m_TimeMs = 0;
};

// Applies one committed command. Index is its log index and increases from call
// to call. A command of an unknown kind changes only the time and gets an empty
// reply.
schema::CommandReply apply(DeploymentState &State, std::uint64_t Index,
                           const schema::Command &Command);

// Converts the state to and from a serialized StateSnapshot, which doesn't
// include the limits of the ledger. restore() returns std::nullopt for bytes
// that can't be parsed.
std::string snapshot(const DeploymentState &State);
std::optional<DeploymentState> restore(std::string_view Snapshot,
                                       const LedgerLimits &Limits = {});

// Source of the time stamps of proposed commands: the replicated time at the
// start of the leadership, plus the time elapsed since then on the leader's
// monotonic clock. Wall clocks aren't used after the first command, so a voter
// with a wrong wall clock can't make outcomes expire early. Without a leader
// the replicated time stands still, which only extends the retention.
struct LeaderClock {
  std::uint64_t m_TimeMsAtStart = 0;
  TimePoint m_StartedAt;

  bool operator==(const LeaderClock &) const = default;
};

// StateTimeMs is the replicated time after the leader has applied all entries
// of earlier terms. If it is 0, before the first command, WallMs is used.
LeaderClock startLeaderClock(std::uint64_t StateTimeMs, std::uint64_t WallMs,
                             TimePoint Now);
std::uint64_t leaderTimeMs(const LeaderClock &Clock, TimePoint Now);

} // namespace mangocart

#endif
