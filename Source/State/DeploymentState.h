// The state that the replicated log builds: configuration, ledger, expert maps
// and fencing numbers. apply() depends on nothing but the commands applied so
// far, so every voter computes the same.
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
  // Number of the newest order that asked for one; only grows.
  std::uint64_t m_LastFencingNumber = 0;
  // The newest number by the name that it was drawn for; each only grows.
  std::map<std::string, std::uint64_t> m_Fences;
  // The replicated time: the highest leader_time_ms applied. Never falls, also
  // when a new leader's clock is behind.
  std::uint64_t m_TimeMs = 0;
};

// Applies one committed command. Index is its place in the log and rises from
// call to call. A command of no known kind changes only the time and gets an
// empty reply.
schema::CommandReply apply(DeploymentState &State, std::uint64_t Index,
                           const schema::Command &Command);

// The whole state as a serialized StateSnapshot, and back. The limits of the
// ledger aren't part of it. Nothing is returned for bytes that can't be parsed.
std::string snapshot(const DeploymentState &State);
std::optional<DeploymentState> restore(std::string_view Snapshot,
                                       const LedgerLimits &Limits = {});

// Time for a command to be proposed: the replicated time at the moment of
// taking the lead, plus what has passed since on the leader's own monotonic
// clock. Wall clocks don't enter after the first command, so a voter whose wall
// clock is wrong can't make outcomes expire early. While nobody leads, the
// replicated time stands still and retention only lengthens.
struct LeaderClock {
  std::uint64_t m_TimeMsAtStart = 0;
  TimePoint m_StartedAt;

  bool operator==(const LeaderClock &) const = default;
};

// StateTimeMs: the replicated time after the leader has applied all entries of
// earlier terms; zero before the first command, WallMs counts then.
LeaderClock startLeaderClock(std::uint64_t StateTimeMs, std::uint64_t WallMs,
                             TimePoint Now);
std::uint64_t leaderTimeMs(const LeaderClock &Clock, TimePoint Now);

} // namespace mangocart

#endif
