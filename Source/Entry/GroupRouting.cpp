#include "Entry/GroupRouting.h"

#include "Core/Hash.h"

#include <algorithm>

namespace mangocart {

namespace {

// Requests at the server, of this entry and of all.
struct ServerRequests {
  std::uint32_t m_Own = 0;
  std::uint32_t m_All = 0;
};

ServerRequests requestsAt(const RoutingState &State, const std::string &Name) {
  const std::uint32_t Own = ownRequests(State, Name);
  return {Own, Own + otherEntriesRequests(State, hash64(Name)).value_or(0)};
}

GroupLoad &loadOf(std::vector<GroupLoad> &Loads, const Member &Record) {
  const auto Found =
      std::find_if(Loads.begin(), Loads.end(), [&](const GroupLoad &Each) {
        return Each.m_Group == Record.m_Group;
      });
  if (Found != Loads.end())
    return *Found;
  GroupLoad New;
  New.m_Group = Record.m_Group;
  New.m_Epoch = Record.m_GroupEpoch;
  return Loads.emplace_back(New);
}

void addRank(RoutingState &State, GroupLoad &Load, const Member &Rank,
             std::uint32_t Slots) {
  if (Rank.m_GroupEpoch < Load.m_Epoch)
    return;
  if (Rank.m_GroupEpoch > Load.m_Epoch) {
    Load = GroupLoad();
    Load.m_Group = Rank.m_Group;
    Load.m_Epoch = Rank.m_GroupEpoch;
  }
  const ServerRequests Requests = requestsAt(State, Rank.m_BackendServer);
  ++Load.m_Ranks;
  Load.m_Slots += Slots;
  Load.m_Requests += Requests.m_All;
  Load.m_OwnRequests += Requests.m_Own;
  Load.m_HasRankInOwnZone = Load.m_HasRankInOwnZone ||
                            Rank.m_AvailabilityZone == State.m_AvailabilityZone;
}

GatewayCounts gatewayCounts(const RoutingState &State) {
  return {State.m_EntryCount, !State.m_OtherEntries.empty()};
}

// How well a candidate suits the request; the first that any candidate of a
// preferred group meets is applied before the groups of lower preference.
bool suits(int Strictness, const ReplicaCandidate &Replica,
           const CandidateView &Candidate, const ChoiceRequest &Request) {
  if (Replica.m_Full)
    return false;
  if (Strictness > 0 && (Replica.m_Ejected || Replica.m_Suspect))
    return false;
  return Strictness < 2 || Request.m_FailedZone.empty() ||
         Candidate.m_Member->m_AvailabilityZone != Request.m_FailedZone;
}

// Index in Order of the first preference with a candidate for the request.
std::optional<std::size_t>
firstWithCandidate(const std::vector<std::vector<std::size_t>> &Order,
                   std::span<const std::optional<std::size_t>> GroupOf,
                   std::span<const CandidateView> Candidates,
                   std::span<const ReplicaCandidate> Replicas,
                   const ChoiceRequest &Request) {
  for (int Strictness = 2; Strictness >= 0; --Strictness)
    for (std::size_t Rank = 0; Rank < Order.size(); ++Rank)
      for (std::size_t I = 0; I < Replicas.size(); ++I)
        if (GroupOf[I] &&
            std::find(Order[Rank].begin(), Order[Rank].end(), *GroupOf[I]) !=
                Order[Rank].end() &&
            suits(Strictness, Replicas[I], Candidates[I], Request))
          return Rank;
  return std::nullopt;
}

} // namespace

std::vector<GroupLoad> groupLoads(const MembershipTable &Table,
                                  RoutingState &State,
                                  const ChoiceRequest &Request, TimePoint Now) {
  removeSilentEntries(State, Now);
  std::vector<GroupLoad> Loads;
  for (const auto &[Name, Entry] : Table.m_Entries) {
    const Member &Record = Entry.m_Member;
    if (!Record.m_Group.empty() && Record.m_State != MemberState::Left &&
        Record.m_Service == Request.m_Service)
      addRank(State, loadOf(Loads, Record), Record, Request.m_MaxOutstanding);
  }
  return Loads;
}

std::uint32_t groupRequests(const MembershipTable &Table, RoutingState &State,
                            std::string_view Group, TimePoint Now) {
  removeSilentEntries(State, Now);
  GroupLoad Load;
  for (const auto &[Name, Entry] : Table.m_Entries)
    if (Entry.m_Member.m_Group == Group &&
        Entry.m_Member.m_State != MemberState::Left)
      addRank(State, Load, Entry.m_Member, 0);
  return estimatedRequests(Load, gatewayCounts(State));
}

void keepPreferredGroups(RoutingState &State, const ChoiceRequest &Request,
                         std::span<const GroupLoad> Groups,
                         std::span<const CandidateView> Candidates,
                         std::span<ReplicaCandidate> Replicas, TimePoint Now) {
  if (!Request.m_PassRules || Groups.empty())
    return;
  const auto Order =
      preferredGroups(State.m_GroupCapacity, *Request.m_PassRules, Groups,
                      gatewayCounts(State), Now);
  std::vector<std::optional<std::size_t>> GroupOf(Candidates.size());
  for (std::size_t I = 0; I < Candidates.size(); ++I)
    for (std::size_t Group = 0; Group < Groups.size(); ++Group)
      if (Candidates[I].m_Member->m_Group == Groups[Group].m_Group)
        GroupOf[I] = Group;
  const auto First =
      firstWithCandidate(Order, GroupOf, Candidates, Replicas, Request);
  for (std::size_t I = 0; I < Replicas.size(); ++I)
    if (GroupOf[I] &&
        (!First || std::find(Order[*First].begin(), Order[*First].end(),
                             *GroupOf[I]) == Order[*First].end()))
      Replicas[I].m_Full = true;
}

} // namespace mangocart
