// Questions about lists of members, and which changes of them are allowed.
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

// Whether the given members hold more than half of the votes; learners and
// unknown storage ids don't count.
bool isMajority(const RaftMembers &Members, const std::set<MemberId> &Granted);

// Whether every majority of one list shares a voter with every majority of the
// other: at most one vote more or less, at least one voter, unique names.
bool isSafeChange(const RaftMembers &From, const RaftMembers &To);

// The list with the machine as a learner under the given storage id, in place
// of whatever had its name.
RaftMembers withLearner(RaftMembers Members, const MemberId &Id);
// The list without the member.
RaftMembers withoutMember(RaftMembers Members, const MemberId &Id);
// The list with the member as a voter.
RaftMembers withVoter(RaftMembers Members, const MemberId &Id);

} // namespace mangocart

#endif
