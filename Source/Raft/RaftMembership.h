// Queries on lists of members, and the rules for changing them.
#ifndef MANGOCART_RAFT_RAFTMEMBERSHIP_H
#define MANGOCART_RAFT_RAFTMEMBERSHIP_H

#include "Raft/RaftTypes.h"

#include <cstddef>
#include <set>
#include <string_view>

namespace mangocart {

bool isMember(const RaftMembers &Members, const MemberId &Id);
bool isVoter(const RaftMembers &Members, const MemberId &Id);
const RaftMember *findByName(const RaftMembers &Members, std::string_view Name);
std::size_t voterCount(const RaftMembers &Members);

// Whether the given members are a majority of the voters; learners and unknown
// storage ids are not counted.
bool isMajority(const RaftMembers &Members, const std::set<MemberId> &Granted);

// Whether every majority of one list shares a voter with every majority of the
// other: the lists differ in at most one voter, the new one has at least one
// voter, and its names are unique.
bool isSafeChange(const RaftMembers &From, const RaftMembers &To);

// The list with the given member as a learner, replacing any member of the same
// name.
RaftMembers withLearner(RaftMembers Members, const MemberId &Id);
// The list without the member.
RaftMembers withoutMember(RaftMembers Members, const MemberId &Id);
// The list with the member as a voter.
RaftMembers withVoter(RaftMembers Members, const MemberId &Id);

} // namespace mangocart

#endif
