// The leader's settler: finds out what became of claims that are past their
// deadline, because the entry that made them died or gave up. Each is settled
// by a revocation at its agent, as in State/Settlement.h. Two settlers at work
// on one claim, as after a change of leader, do no harm.
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
  // How far past its deadline a claim must be; longer than an entry's own
  // patience, so that the two seldom meet.
  Duration m_Grace = std::chrono::seconds(10);
  // Claims in hand at once.
  std::size_t m_MaxAtOnce = 64;

  bool operator==(const SettlerLimits &) const = default;
};

struct Settler {
  SettlerLimits m_Limits;
  // By claim number; a settlement is here until it is done.
  std::map<std::uint64_t, Settlement> m_Active;
};

// The effects of one claim's settlement; its events go back under the number.
struct SettlerWork {
  std::uint64_t m_ClaimNumber = 0;
  SettlementEffects m_Effects;
};

// Takes up claims that aren't in hand yet. Overdue: from overdueClaims() with
// the limits' grace, asked for m_MaxAtOnce plus the claims in hand.
std::vector<SettlerWork>
takeUp(Settler &State, const std::vector<OpenClaim> &Overdue, TimePoint Now);

// One event of a claim in hand; no effects if it isn't.
SettlementEffects step(Settler &State, std::uint64_t ClaimNumber,
                       const SettlementEvent &Event, TimePoint Now);

// This process doesn't lead any more.
void stopSettling(Settler &State);

} // namespace mangocart

#endif
