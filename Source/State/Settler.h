// The leader's settler: determines the outcome of claims that are past their
// deadline because their entry failed or stopped waiting. Each is settled by a
// revocation at its agent, see State/Settlement.h. It is safe for two settlers
// to work on one claim, as can happen after a change of leader.
#ifndef MANGOCART_STATE_SETTLER_H
#define MANGOCART_STATE_SETTLER_H

#include "State/Settlement.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace mangocart {

struct SettlerLimits {
  SettlementLimits m_Settlement;
  // Time after the deadline of a claim at which the settler starts; longer than
  // SettlementLimits::m_EntryGrace, so that entry and settler rarely work on
  // the same claim.
  Duration m_Grace = std::chrono::seconds(10);
  // Maximum number of concurrent settlements.
  std::size_t m_MaxConcurrent = 64;

  bool operator==(const SettlerLimits &) const = default;
};

struct Settler {
  SettlerLimits m_Limits;
  // The settlements in progress by claim number.
  std::map<std::uint64_t, Settlement> m_Active;
};

// The effects of the settlement of one claim; the resulting events are passed
// to step() with its number.
struct ClaimEffects {
  std::uint64_t m_ClaimNumber = 0;
  SettlementEffects m_Effects;
};

// Starts settlements for claims that have none yet. Overdue is the result of
// overdueClaims() with m_Grace, and with m_MaxConcurrent plus the size of
// m_Active as the maximum count.
std::vector<ClaimEffects>
startSettlements(Settler &State, const std::vector<OpenClaim> &Overdue,
                 TimePoint Now);

// Processes one event of a claim; returns no effects if it isn't being settled.
SettlementEffects step(Settler &State, std::uint64_t ClaimNumber,
                       const SettlementEvent &Event, TimePoint Now);

// Drops all settlements when this process is no longer the leader.
void stopSettling(Settler &State);

} // namespace mangocart

#endif
