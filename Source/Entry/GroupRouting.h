// Applies the capacity of rank groups to the candidates of a request: sums the
// requests of each group over its ranks, marks the ranks of groups that may not
// take the request as full, and keeps the preferred groups.
#ifndef MANGOCART_ENTRY_GROUPROUTING_H
#define MANGOCART_ENTRY_GROUPROUTING_H

#include "Entry/RoutingState.h"

#include <span>
#include <vector>

namespace mangocart {

// The groups of the service with the requests that run there, also at ranks
// that accept no new ones. Ranks that don't belong to the newest formation of
// their group are left out. The names refer to the table.
std::vector<GroupLoad> groupLoads(const MembershipTable &Table,
                                  RoutingState &State,
                                  const ChoiceRequest &Request, TimePoint Now);

// Requests in the group, over all ranks and gateways.
std::uint32_t groupRequests(const MembershipTable &Table, RoutingState &State,
                            std::string_view Group, TimePoint Now);

// Marks all ranks as full but those of the groups that the request should be
// sent to. Replicas holds the candidates in the same order.
void keepPreferredGroups(RoutingState &State, const ChoiceRequest &Request,
                         std::span<const GroupLoad> Groups,
                         std::span<const CandidateView> Candidates,
                         std::span<ReplicaCandidate> Replicas, TimePoint Now);

} // namespace mangocart

#endif
