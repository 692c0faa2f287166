// Counts the confirmations of voters and gateways.
#include "Voter/ChangeConfirmation.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace mangocart {

ConfirmationState
confirmationState(const std::vector<WatcherProgress> &Watchers,
                  std::uint64_t Change, std::size_t RequiredVoters,
                  bool WaitsForAll) {
  // A voter that has connected again may be listed twice for a while.
  std::set<std::string_view> Voters;
  std::set<std::string_view> Confirmed;
  for (const WatcherProgress &Each : Watchers) {
    if (Each.m_Kind != WatcherKind::Voter)
      continue;
    Voters.insert(Each.m_Name);
    if (Each.m_ConfirmedChange >= Change)
      Confirmed.insert(Each.m_Name);
  }
  if (Voters.size() < RequiredVoters)
    return ConfirmationState::OutOfReach;
  if (Confirmed.size() < RequiredVoters)
    return ConfirmationState::Pending;
  const bool IsConfirmedByAll = std::all_of(
      Watchers.begin(), Watchers.end(), [&](const WatcherProgress &Each) {
        return Each.m_Kind == WatcherKind::Balancer ||
               Each.m_ConfirmedChange >= Change;
      });
  return WaitsForAll && !IsConfirmedByAll ? ConfirmationState::Pending
                                          : ConfirmationState::Confirmed;
}

} // namespace mangocart
