// Elections: pre-vote, vote, and the bootstrap of a new deployment.
#include "Raft/RaftCodec.h"
#include "Raft/RaftMembership.h"
#include "Raft/RaftSteps.h"

#include <algorithm>
#include <utility>

namespace mangocart {

namespace {

constexpr Term FirstTerm = 1;
constexpr LogIndex FirstIndex = 1;

// While a leader's lease may depend on this member, it grants no vote to
// another member, whatever its term.
bool hasActiveLeader(const StepContext &C) {
  const RaftState &S = C.m_State;
  return leaseHeld(S, C.m_Now) ||
         C.m_Now < S.m_LeaderContact + S.m_Config.m_Timing.m_ElectionTimeoutMin;
}

bool isUpToDate(const RaftState &S, const VoteRequest &B) {
  return std::pair(B.m_LastLogTerm, B.m_LastLogIndex) >=
         std::pair(S.m_Log.lastTerm(), S.m_Log.lastIndex());
}

void requestVotes(StepContext &C, bool PreVote) {
  const RaftState &S = C.m_State;
  RaftMessage Message;
  Message.m_Term = S.m_HardState.m_Term + (PreVote ? 1 : 0);
  Message.m_Body =
      VoteRequest{S.m_Log.lastIndex(), S.m_Log.lastTerm(), PreVote};
  for (const RaftMember &M : currentMembers(S))
    if (M.m_Voter && M.m_Id != S.m_Config.m_Self)
      sendMessage(C, M.m_Id, RaftMessage(Message));
}

void startElection(StepContext &C) {
  RaftState &S = C.m_State;
  setHardState(C, {S.m_HardState.m_Term + 1, S.m_Config.m_Self});
  setRole(C, RaftRole::Candidate);
  S.m_Granted = {S.m_Config.m_Self};
  resetElectionDeadline(C);
  if (isMajority(currentMembers(S), S.m_Granted))
    becomeLeader(C);
  else
    requestVotes(C, false);
}

void startPreVote(StepContext &C) {
  RaftState &S = C.m_State;
  S.m_Leader.clear();
  setRole(C, RaftRole::PreCandidate);
  S.m_Granted = {S.m_Config.m_Self};
  if (isMajority(currentMembers(S), S.m_Granted))
    startElection(C);
  else
    requestVotes(C, true);
}

// Nodes that may know the leader: those in the settings and in the log.
std::set<std::string> otherNodeNames(const RaftState &S) {
  std::set<std::string> Names(S.m_Config.m_Voters.begin(),
                              S.m_Config.m_Voters.end());
  for (const RaftMember &M : currentMembers(S))
    Names.insert(M.m_Id.m_Name);
  Names.erase(S.m_Config.m_Self.m_Name);
  return Names;
}

bool mayBootstrap(const RaftState &S) {
  if (!currentMembers(S).empty() ||
      S.m_Config.m_Bootstrap != S.m_Config.m_Self.m_Name)
    return false;
  const std::vector<std::string> &Voters = S.m_Config.m_Voters;
  return std::all_of(Voters.begin(), Voters.end(), [&](const std::string &N) {
    return N == S.m_Config.m_Self.m_Name || S.m_EmptyPeers.contains(N);
  });
}

// Creates the log with this member as the only voter; the others join later.
void bootstrap(StepContext &C) {
  const RaftMembers Members = {{C.m_State.m_Config.m_Self, true}};
  setHardState(C, {FirstTerm, {}});
  RaftEntry Entry{FirstTerm, FirstIndex, EntryKind::Members,
                  encodeMembers(Members)};
  appendEntry(C, std::make_shared<const RaftEntry>(std::move(Entry)));
}

void handlePreVoteReply(StepContext &C, const RaftMessage &M,
                        const VoteReply &B) {
  RaftState &S = C.m_State;
  if (!B.m_Granted) {
    if (M.m_Term > S.m_HardState.m_Term)
      becomeFollower(C, M.m_Term, {});
    return;
  }
  if (S.m_Role != RaftRole::PreCandidate ||
      M.m_Term != S.m_HardState.m_Term + 1)
    return;
  S.m_Granted.insert(M.m_From);
  if (isMajority(currentMembers(S), S.m_Granted))
    startElection(C);
}

} // namespace

// A voter whose removal is not committed yet still starts elections: it may be
// the only one whose log is up to date enough to win. Its own vote is not
// counted then.
bool mayCampaign(const RaftState &S) {
  const MemberId &Self = S.m_Config.m_Self;
  if (isVoter(currentMembers(S), Self))
    return true;
  const std::size_t Count = S.m_Members.size();
  return Count >= 2 && S.m_Members.back().m_Index > S.m_Commit &&
         isVoter(S.m_Members[Count - 2].m_Members, Self);
}

void onElectionTimeout(StepContext &C) {
  RaftState &S = C.m_State;
  resetElectionDeadline(C);
  if (mayBootstrap(S)) {
    bootstrap(C);
    return;
  }
  if (mayCampaign(S))
    startPreVote(C);
  if (S.m_Role == RaftRole::Leader)
    return;
  // This storage id may have been replaced, or may never have been a member.
  for (const std::string &Name : otherNodeNames(S))
    sendBody(C, {Name, {}}, JoinRequest{});
}

void handleVoteRequest(StepContext &C, const RaftMessage &M,
                       const VoteRequest &B) {
  RaftState &S = C.m_State;
  // A member whose own storage id is not in its log does not know which votes
  // it has granted before. The candidate's id is not looked up: this log may be
  // older than the change that made the candidate a voter.
  if (!isMember(currentMembers(S), S.m_Config.m_Self) || hasActiveLeader(C))
    return;
  if (B.m_PreVote) {
    const bool Granted = M.m_Term > S.m_HardState.m_Term && isUpToDate(S, B);
    RaftMessage Reply;
    Reply.m_Term = Granted ? M.m_Term : S.m_HardState.m_Term;
    Reply.m_Body = VoteReply{Granted, true};
    sendMessage(C, M.m_From, std::move(Reply));
    return;
  }
  if (M.m_Term > S.m_HardState.m_Term)
    becomeFollower(C, M.m_Term, {});
  const RaftHardState &Hard = S.m_HardState;
  const bool CanVote =
      Hard.m_VotedFor.m_Name.empty() || Hard.m_VotedFor == M.m_From;
  const bool Granted = M.m_Term == Hard.m_Term && CanVote && isUpToDate(S, B);
  if (Granted) {
    setHardState(C, {Hard.m_Term, M.m_From});
    resetElectionDeadline(C);
  }
  sendBody(C, M.m_From, VoteReply{Granted, false});
}

void handleVoteReply(StepContext &C, const RaftMessage &M, const VoteReply &B) {
  RaftState &S = C.m_State;
  if (B.m_PreVote) {
    handlePreVoteReply(C, M, B);
    return;
  }
  if (M.m_Term > S.m_HardState.m_Term) {
    becomeFollower(C, M.m_Term, {});
    return;
  }
  if (S.m_Role != RaftRole::Candidate || !B.m_Granted ||
      M.m_Term != S.m_HardState.m_Term)
    return;
  S.m_Granted.insert(M.m_From);
  if (isMajority(currentMembers(S), S.m_Granted))
    becomeLeader(C);
}

void handleJoinReply(StepContext &C, const RaftMessage &M, const JoinReply &B) {
  RaftState &S = C.m_State;
  if (B.m_Leader.empty())
    S.m_EmptyPeers.insert(M.m_From.m_Name);
  else if (B.m_Leader != S.m_Config.m_Self.m_Name &&
           !isMember(currentMembers(S), S.m_Config.m_Self))
    sendBody(C, {B.m_Leader, {}}, JoinRequest{});
}

} // namespace mangocart
