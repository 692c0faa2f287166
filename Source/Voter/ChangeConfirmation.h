// Decides when enough watchers of a voter have confirmed a change of its
// announcements, so that the change can be acknowledged: it must outlast the
// loss of this voter right after the acknowledgement.
#ifndef MANGOCART_VOTER_CHANGECONFIRMATION_H
#define MANGOCART_VOTER_CHANGECONFIRMATION_H

#include "Core/Result.h"
#include "Gateway/VoterWatch.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace mangocart {

// What a connected watcher has confirmed.
struct WatcherProgress {
  std::string m_Name;
  WatcherKind m_Kind = WatcherKind::Gateway;
  // Number of the last confirmed change; those before it are confirmed as well.
  std::uint64_t m_ConfirmedChange = 0;

  bool operator==(const WatcherProgress &) const = default;
};

// The error says why a change isn't confirmed.
using ConfirmationHandler = std::function<void(Result<void, std::string>)>;

enum class ConfirmationState {
  Pending,
  Confirmed,
  // Fewer voters are connected than must confirm.
  OutOfReach
};

// A change is confirmed once all connected voters and gateways have confirmed
// it. Unless WaitsForAll, the confirmations of RequiredVoters voters are
// enough, as those send it to all gateways. Balancers don't count.
ConfirmationState
confirmationState(const std::vector<WatcherProgress> &Watchers,
                  std::uint64_t Change, std::size_t RequiredVoters,
                  bool WaitsForAll);

} // namespace mangocart

#endif
