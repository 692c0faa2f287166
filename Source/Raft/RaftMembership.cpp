// Queries and changes of lists of members.
#include "Raft/RaftMembership.h"

#include <algorithm>
#include <iterator>

namespace mangocart {

namespace {

std::set<MemberId> votersOf(const RaftMembers &Members) {
  std::set<MemberId> Voters;
  for (const RaftMember &M : Members)
    if (M.m_Voter)
      Voters.insert(M.m_Id);
  return Voters;
}

} // namespace

bool isMember(const RaftMembers &Members, const MemberId &Id) {
  return std::any_of(Members.begin(), Members.end(),
                     [&](const RaftMember &M) { return M.m_Id == Id; });
}

bool isVoter(const RaftMembers &Members, const MemberId &Id) {
  return std::any_of(Members.begin(), Members.end(), [&](const RaftMember &M) {
    return M.m_Voter && M.m_Id == Id;
  });
}

const RaftMember *findByName(const RaftMembers &Members,
                             std::string_view Name) {
  const auto Found =
      std::find_if(Members.begin(), Members.end(),
                   [&](const RaftMember &M) { return M.m_Id.m_Name == Name; });
  return Found == Members.end() ? nullptr : &*Found;
}

std::size_t voterCount(const RaftMembers &Members) {
  return static_cast<std::size_t>(
      std::count_if(Members.begin(), Members.end(),
                    [](const RaftMember &M) { return M.m_Voter; }));
}

bool isMajority(const RaftMembers &Members, const std::set<MemberId> &Granted) {
  const auto Votes =
      std::count_if(Members.begin(), Members.end(), [&](const RaftMember &M) {
        return M.m_Voter && Granted.contains(M.m_Id);
      });
  return static_cast<std::size_t>(Votes) > voterCount(Members) / 2;
}

bool isSafeChange(const RaftMembers &From, const RaftMembers &To) {
  std::set<std::string> Names;
  for (const RaftMember &M : To)
    Names.insert(M.m_Id.m_Name);
  if (Names.size() != To.size() || voterCount(To) == 0)
    return false;
  const std::set<MemberId> Old = votersOf(From);
  const std::set<MemberId> New = votersOf(To);
  std::vector<MemberId> Changed;
  std::set_symmetric_difference(Old.begin(), Old.end(), New.begin(), New.end(),
                                std::back_inserter(Changed));
  return Changed.size() <= 1;
}

RaftMembers withLearner(RaftMembers Members, const MemberId &Id) {
  std::erase_if(
      Members, [&](const RaftMember &M) { return M.m_Id.m_Name == Id.m_Name; });
  Members.push_back({Id, false});
  std::sort(Members.begin(), Members.end());
  return Members;
}

RaftMembers withoutMember(RaftMembers Members, const MemberId &Id) {
  std::erase_if(Members, [&](const RaftMember &M) { return M.m_Id == Id; });
  return Members;
}

RaftMembers withVoter(RaftMembers Members, const MemberId &Id) {
  for (RaftMember &M : Members)
    if (M.m_Id == Id)
      M.m_Voter = true;
  return Members;
}

} // namespace mangocart
