// Faults and invariants of the single-threaded runs.
#include "Raft/RaftHarness.h"

#include "Core/Hash.h"
#include "Raft/RaftCodec.h"
#include "Raft/RaftMembership.h"

#include <algorithm>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace mangocart {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t MaxUndelivered = 150;
constexpr std::size_t AllRecords = SIZE_MAX;
constexpr Duration FaultFreeStep = 20ms;
// As in VoterDaemon.
constexpr Duration StopTimeout = 3s;

void require(bool Holds, const std::string &What) {
  if (!Holds)
    throw std::runtime_error("invariant violated: " + What);
}

RaftMembers membersOnDisk(const HarnessDisk &Disk) {
  RaftMembers Members;
  if (Disk.m_State.m_Snapshot)
    Members = Disk.m_State.m_Snapshot->m_Members;
  for (const EntryPtr &E : Disk.m_State.m_Entries)
    if (E->m_Kind == EntryKind::Members)
      Members = *decodeMembers(E->m_Payload);
  return Members;
}

std::uint64_t digestOf(const std::string &Snapshot) {
  const std::size_t Digits = Snapshot.find_first_not_of('x') + 1;
  require(Digits < Snapshot.size() && Snapshot[Digits - 1] == ';',
          "snapshot is malformed");
  return std::stoull(Snapshot.substr(Digits));
}

bool containsMembersEntry(const RaftMessage &M) {
  const auto *Request = std::get_if<AppendRequest>(&M.m_Body);
  return Request &&
         std::any_of(
             Request->m_Entries.begin(), Request->m_Entries.end(),
             [](const EntryPtr &E) { return E->m_Kind == EntryKind::Members; });
}

} // namespace

RaftHarness::RaftHarness(std::uint64_t Seed, std::size_t NodeCount,
                         const RaftLimits &Limits)
    : m_Random(Seed), m_Limits(Limits) {
  for (std::size_t I = 0; I < NodeCount; ++I) {
    HarnessNode N;
    N.m_Name = std::string(1, static_cast<char>('a' + I));
    // The lease tolerates clock rates that differ by up to one twelfth.
    N.m_ClockRate = 0.96 + 0.08 * uniformReal(m_Random);
    N.m_ClockOffset = std::chrono::milliseconds(uniform(m_Random, 1, 100000));
    m_Nodes.push_back(std::move(N));
  }
  for (HarnessNode &N : m_Nodes) {
    loseDisk(N);
    restart(N);
  }
  m_Counts = {};
}

bool RaftHarness::chance(unsigned Percent) {
  return uniform(m_Random, 1, 100) <= Percent;
}

HarnessNode &RaftHarness::randomNode() {
  return m_Nodes[uniform(m_Random, 0, m_Nodes.size() - 1)];
}

TimePoint RaftHarness::now(const HarnessNode &N) const {
  const double Local = static_cast<double>(m_Time.count()) * N.m_ClockRate;
  return TimePoint(N.m_ClockOffset +
                   Duration(static_cast<std::int64_t>(Local)));
}

HarnessNode *RaftHarness::leader() {
  for (HarnessNode &N : m_Nodes)
    if (N.m_State && leaseHeld(*N.m_State, now(N)))
      return &N;
  return nullptr;
}

std::string RaftHarness::describe() const {
  std::ostringstream Out;
  for (const HarnessNode &N : m_Nodes) {
    Out << "  " << N.m_Name << '/' << N.m_Disk.m_StorageId;
    if (N.m_State) {
      const RaftState &S = *N.m_State;
      Out << " role " << static_cast<int>(S.m_Role) << " term "
          << S.m_HardState.m_Term << " log " << S.m_Log.baseIndex() << ".."
          << S.m_Log.lastIndex() << " of term " << S.m_Log.lastTerm()
          << " commit " << S.m_Commit << " members";
      for (const RaftMember &M : currentMembers(S))
        Out << ' ' << M.m_Id.m_Name << '/' << M.m_Id.m_StorageId
            << (M.m_Voter ? "" : "(learner)");
      for (const auto &[Id, P] : S.m_Progress)
        Out << " [" << Id.m_Name << " mode " << static_cast<int>(P.m_Mode)
            << " match " << P.m_Match << " next " << P.m_Next << " offset "
            << P.m_Offset << ']';
    }
    Out << '\n';
  }
  return Out.str();
}

// ---- Processes and disks.

void RaftHarness::kill(HarnessNode &N) {
  N.m_State.reset();
  N.m_Pending.clear();
  N.m_UnfinishedSnapshot.reset();
  N.m_Paused = false;
  N.m_StopDeadline.reset();
}

void RaftHarness::stop(HarnessNode &N) {
  if (!N.m_State || N.m_Paused || N.m_StopDeadline)
    return;
  N.m_StopDeadline = m_Time + StopTimeout;
  handle(N, {PrepareStop{}});
}

void RaftHarness::endStoppedNodes() {
  for (HarnessNode &N : m_Nodes)
    if (N.m_StopDeadline && !N.m_Paused &&
        (m_Time >= *N.m_StopDeadline || mayStop(*N.m_State, now(N))))
      kill(N);
}

void RaftHarness::loseDisk(HarnessNode &N) {
  kill(N);
  N.m_Disk = {"s" + std::to_string(m_NextStorageId++), {}};
  ++m_Counts.m_DisksLost;
}

void RaftHarness::openMembership(const OpenMembership &Open,
                                 std::size_t KnownAtStart) {
  m_OpenMembership = Open;
  m_KnownAtStart = KnownAtStart;
  for (HarnessNode &N : m_Nodes)
    restart(N);
}

void RaftHarness::restart(HarnessNode &N) {
  RaftConfig Config;
  Config.m_Self = {N.m_Name, N.m_Disk.m_StorageId};
  for (const HarnessNode &Other : m_Nodes)
    if (!m_OpenMembership || Config.m_Voters.size() < m_KnownAtStart)
      Config.m_Voters.push_back(Other.m_Name);
  Config.m_Bootstrap = "a";
  Config.m_Limits = m_Limits;
  Config.m_OpenMembership = m_OpenMembership;
  N.m_State = makeRaftState(Config, N.m_Disk.m_State, now(N), m_Random);
  N.m_Applied = 0;
  N.m_Digest = 0;
  if (N.m_Disk.m_State.m_Snapshot)
    executeEffect(N, Restore{N.m_Disk.m_State.m_Snapshot});
}

void RaftHarness::persist(HarnessNode &N, const PersistLog &P,
                          std::size_t MaxRecords) {
  RecoveredState &Disk = N.m_Disk.m_State;
  const auto Take = [&MaxRecords] { return MaxRecords && MaxRecords--; };
  if (P.m_HardState && Take())
    Disk.m_HardState = *P.m_HardState;
  const LogIndex Base = Disk.m_Snapshot ? Disk.m_Snapshot->m_LastIndex : 0;
  if (P.m_TruncateFrom && Take()) {
    require(P.m_TruncateFrom > Base, "log truncated below the snapshot");
    Disk.m_Entries.resize(P.m_TruncateFrom - Base - 1);
  }
  for (const EntryPtr &E : P.m_Entries) {
    if (!Take())
      break;
    require(E->m_Index == Base + Disk.m_Entries.size() + 1, "gap on disk");
    Disk.m_Entries.push_back(E);
  }
}

void RaftHarness::save(HarnessNode &N, const SaveSnapshot &S) {
  N.m_Disk.m_State.m_Entries = S.m_Entries;
  N.m_Disk.m_State.m_Snapshot = S.m_Snapshot;
}

// ---- Steps and effects.

void RaftHarness::handle(HarnessNode &N, const std::vector<RaftEvent> &Events) {
  if (!N.m_State || N.m_Paused)
    return;
  std::vector<RaftEffect> All;
  for (const RaftEvent &E : Events) {
    std::vector<RaftEffect> Effects = step(*N.m_State, E, now(N), m_Random);
    checkStep(N, Effects);
    All.insert(All.end(), Effects.begin(), Effects.end());
  }
  executeEffects(N, groupStorageEffects(std::move(All)));
  checkLeases();
}

void RaftHarness::executeEffects(HarnessNode &N,
                                 std::vector<RaftEffect> Effects) {
  for (std::size_t I = 0; I < Effects.size(); ++I) {
    if (m_Faults && uniform(m_Random, 1, 400) <= 2) {
      const auto *Torn = std::get_if<PersistLog>(&Effects[I]);
      if (Torn && chance(50))
        persist(N, *Torn, uniform(m_Random, 0, Torn->m_Entries.size()));
      kill(N);
      return;
    }
    if (m_Faults && uniform(m_Random, 1, 400) <= 2) {
      N.m_Paused = true;
      N.m_Pending.assign(Effects.begin() + static_cast<std::ptrdiff_t>(I),
                         Effects.end());
      return;
    }
    executeEffect(N, Effects[I]);
  }
}

void RaftHarness::executeEffect(HarnessNode &N, const RaftEffect &Effect) {
  if (const auto *P = std::get_if<PersistLog>(&Effect)) {
    ++m_Counts.m_Syncs;
    persist(N, *P, AllRecords);
  } else if (const auto *S = std::get_if<SaveSnapshot>(&Effect)) {
    save(N, *S);
  } else if (const auto *M = std::get_if<Send>(&Effect)) {
    send(N, M->m_Message);
  } else if (const auto *A = std::get_if<Apply>(&Effect)) {
    apply(N, *A);
  } else if (const auto *L = std::get_if<RoleChanged>(&Effect)) {
    if (L->m_Role == RaftRole::Leader)
      recordLeader({N.m_Name, N.m_Disk.m_StorageId}, L->m_Term);
  } else if (const auto *R = std::get_if<Restore>(&Effect)) {
    N.m_Applied = R->m_Snapshot->m_LastIndex;
    N.m_Digest = digestOf(R->m_Snapshot->m_Data);
    require(m_Committed.at(N.m_Applied).m_Digest == N.m_Digest,
            "snapshot differs from the applied state");
  }
}

void RaftHarness::apply(HarnessNode &N, const Apply &A) {
  for (const EntryPtr &E : A.m_Entries) {
    require(E->m_Index == N.m_Applied + 1, "gap in the applied entries");
    N.m_Applied = E->m_Index;
    N.m_Digest = hash64(E->m_Payload, N.m_Digest + E->m_Term);
    const CommitRecord Mark{E->m_Term, N.m_Digest};
    const auto [Known, New] = m_Committed.try_emplace(E->m_Index, Mark);
    require(Known->second == Mark, "committed entry changed");
    if (New) {
      ++m_Counts.m_Committed;
      m_CommittedInTerm[E->m_Index] = N.m_State->m_HardState.m_Term;
    }
  }
}

void RaftHarness::send(HarnessNode &N, const RaftMessage &M) {
  ++m_Counts.m_Messages;
  m_Counts.m_Bytes += encodeMessage(M).size();
  if (const auto *Vote = std::get_if<VoteReply>(&M.m_Body);
      Vote && Vote->m_Granted) {
    require(!N.m_Disk.empty(), "vote from an empty folder");
    const auto Known = m_Votes.try_emplace({M.m_Term, M.m_From}, M.m_To);
    require(Vote->m_PreVote || Known.first->second == M.m_To, "two votes");
    if (Vote->m_PreVote && Known.second)
      m_Votes.erase(Known.first);
  }
  if (std::holds_alternative<AppendRequest>(M.m_Body) ||
      std::holds_alternative<SnapshotChunk>(M.m_Body))
    recordLeader(M.m_From, M.m_Term);
  if (m_BlockedLinks.contains({M.m_From.m_Name, M.m_To.m_Name}))
    return;
  m_Undelivered.push_back(M);
  if (m_Undelivered.size() > MaxUndelivered)
    m_Undelivered.erase(m_Undelivered.begin());
}

// ---- Invariants.

void RaftHarness::checkStep(HarnessNode &N,
                            const std::vector<RaftEffect> &Effects) {
  for (const RaftEffect &Effect : Effects) {
    if (const auto *P = std::get_if<PersistLog>(&Effect))
      checkEntries(N, P->m_Entries);
    if (const auto *R = std::get_if<RoleChanged>(&Effect);
        R && R->m_Role == RaftRole::Leader)
      checkLeader(N);
  }
  if (mayRead(*N.m_State, now(N)) && !m_Committed.empty())
    require(N.m_State->m_Commit >= m_Committed.rbegin()->first,
            "lease holder could serve a stale read");
}

void RaftHarness::checkEntries(const HarnessNode &N, const EntryList &Entries) {
  for (const EntryPtr &E : Entries) {
    const std::optional<Term> Previous =
        N.m_State->m_Log.termAt(E->m_Index - 1);
    require(Previous.has_value(), "entry without a predecessor");
    const EntryRecord Mark{hash64(E->m_Payload), *Previous};
    const auto Known = m_Entries.try_emplace({E->m_Index, E->m_Term}, Mark);
    require(Known.first->second == Mark, "logs don't match");
  }
}

void RaftHarness::checkLeader(const HarnessNode &N) {
  const RaftState &S = *N.m_State;
  ++m_Counts.m_Elections;
  // A late vote may still make a leader of an older term, which can't commit
  // anything.
  for (const auto &[Index, Mark] : m_Committed)
    require(m_CommittedInTerm.at(Index) > S.m_HardState.m_Term ||
                Index < S.m_Log.baseIndex() ||
                S.m_Log.termAt(Index) == Mark.m_Term,
            "leader lacks a committed entry");
}

// A leader is recorded with its first message or when its process handles the
// role change, both after the sync: a kill before that leaves no leader behind.
void RaftHarness::recordLeader(const MemberId &Id, Term LeaderTerm) {
  const auto Known = m_Leaders.try_emplace(LeaderTerm, Id);
  require(Known.first->second == Id, "two leaders in a term");
}

void RaftHarness::checkLeases() const {
  const auto Holders =
      std::count_if(m_Nodes.begin(), m_Nodes.end(), [&](const HarnessNode &N) {
        return N.m_State && leaseHeld(*N.m_State, now(N));
      });
  require(Holders <= 1, "two lease holders");
}

// ---- Faults.

void RaftHarness::runFaults(int Steps) {
  m_Faults = true;
  for (int I = 0; I < Steps; ++I) {
    const std::uint64_t Choice = uniform(m_Random, 1, 100);
    if (Choice <= 62) {
      deliverOne(true);
    } else if (Choice <= 78) {
      m_Time += std::chrono::milliseconds(uniform(m_Random, 1, 120));
      tickAll();
    } else if (Choice <= 88) {
      HarnessNode *L = leader();
      propose(L && chance(80) ? *L : randomNode(),
              static_cast<int>(uniform(m_Random, 1, 4)));
    } else {
      randomFault();
    }
  }
  m_Faults = false;
}

void RaftHarness::randomFault() {
  HarnessNode *L = leader();
  HarnessNode &N = L && chance(40) ? *L : randomNode();
  // Without open membership the seeds named in docs/RAFT.md keep their meaning.
  switch (uniform(m_Random, 1, m_OpenMembership ? 14 : 13)) {
  case 1:
    kill(N);
    break;
  case 2:
  case 3:
  case 11:
    restartStoppedNode();
    break;
  case 4:
    if (canLoseDisk())
      loseDisk(N);
    break;
  case 5:
    N.m_Paused = N.m_State.has_value();
    break;
  case 6:
  case 12:
    m_Time += 300ms * uniform(m_Random, 0, 3);
    for (HarnessNode &Other : m_Nodes)
      resume(Other);
    break;
  case 7:
    blockLinks();
    break;
  case 8:
    m_BlockedLinks.clear();
    break;
  case 13:
    std::move(m_Delayed.begin(), m_Delayed.end(),
              std::back_inserter(m_Undelivered));
    m_Delayed.clear();
    break;
  case 9:
    takeSnapshot(N);
    break;
  case 14:
    stop(N);
    break;
  default:
    changeMembers(L ? *L : N);
  }
}

void RaftHarness::restartStoppedNode() {
  for (HarnessNode &N : m_Nodes) {
    if (N.m_State)
      continue;
    restart(N);
    return;
  }
}

void RaftHarness::resume(HarnessNode &N) {
  N.m_Paused = false;
  executeEffects(N, std::exchange(N.m_Pending, {}));
}

void RaftHarness::deliverOne(bool Faulty) {
  if (m_Undelivered.empty())
    return;
  const std::size_t Window =
      Faulty && chance(30) ? m_Undelivered.size() : std::size_t{1};
  const std::size_t I = uniform(m_Random, 0, Window - 1);
  const RaftMessage M = m_Undelivered[I];
  if (!Faulty || !chance(5))
    m_Undelivered.erase(m_Undelivered.begin() + static_cast<std::ptrdiff_t>(I));
  if (Faulty && chance(5)) {
    if (chance(50))
      m_Delayed.push_back(M);
    return;
  }
  std::vector<RaftEvent> Events = {Receive{M}};
  if (Faulty && chance(20))
    Events.emplace_back(Propose{{{m_NextProposal++, "batched"}}});
  for (HarnessNode &N : m_Nodes)
    if (N.m_Name == M.m_To.m_Name)
      handle(N, Events);
}

void RaftHarness::tickAll() {
  checkLeases();
  for (HarnessNode &N : m_Nodes)
    if (N.m_State && now(N) >= nextTickTime(*N.m_State))
      handle(N, {Tick{}});
  endStoppedNodes();
}

void RaftHarness::propose(HarnessNode &N, int Count) {
  Propose E;
  for (int I = 0; I < Count; ++I, ++m_NextProposal)
    E.m_Proposals.push_back(
        {m_NextProposal, "command " + std::to_string(m_NextProposal)});
  handle(N, {E});
}

void RaftHarness::takeSnapshot(HarnessNode &N) {
  // Two members' snapshots of the same state may differ in their bytes.
  const std::string Padding(uniform(m_Random, 0, 9), 'x');
  if (!N.m_State || N.m_Paused || N.m_Applied == 0)
    return;
  const LogIndex Held =
      N.m_State->m_Snapshot ? N.m_State->m_Snapshot->m_LastIndex : 0;
  if (N.m_UnfinishedSnapshot) {
    handle(N, {SnapshotTaken{std::exchange(N.m_UnfinishedSnapshot, nullptr)}});
  } else if (N.m_Applied > Held) {
    RaftSnapshot Snapshot = snapshotMetadata(*N.m_State, N.m_Applied);
    Snapshot.m_Data = Padding + ';' + std::to_string(N.m_Digest);
    N.m_UnfinishedSnapshot =
        std::make_shared<const RaftSnapshot>(std::move(Snapshot));
    if (!m_DelaySnapshots)
      handle(N,
             {SnapshotTaken{std::exchange(N.m_UnfinishedSnapshot, nullptr)}});
  }
}

void RaftHarness::changeMembers(HarnessNode &N) {
  if (!N.m_State)
    return;
  RaftMembers Members = currentMembers(*N.m_State);
  // Shrinking the list while a disk is lost could leave no majority.
  const auto HasCurrentDisk = [&](const HarnessNode &Other) {
    const RaftMember *Held = findByName(Members, Other.m_Name);
    return !Held || Held->m_Id.m_StorageId == Other.m_Disk.m_StorageId;
  };
  if (Members.empty() ||
      !std::all_of(m_Nodes.begin(), m_Nodes.end(), HasCurrentDisk))
    return;
  const std::size_t I = uniform(m_Random, 0, Members.size() - 1);
  if (chance(50))
    Members.erase(Members.begin() + static_cast<std::ptrdiff_t>(I));
  else
    Members[I].m_Voter = !Members[I].m_Voter;
  handle(N, {ProposeMembers{Members}});
}

void RaftHarness::blockLinks() {
  const std::string A = randomNode().m_Name;
  const bool Both = chance(50);
  const bool All = chance(50);
  for (const HarnessNode &N : m_Nodes) {
    if (N.m_Name == A || (!All && chance(50)))
      continue;
    m_BlockedLinks.insert({A, N.m_Name});
    if (Both)
      m_BlockedLinks.insert({N.m_Name, A});
  }
}

// A log cannot survive the loss of more disks than a minority at once. So a
// disk may be lost only if all members agree that every node is a voter with
// its current storage id, and no membership change is in flight.
bool RaftHarness::canLoseDisk() const {
  RaftMembers Wanted;
  for (const HarnessNode &N : m_Nodes)
    Wanted.push_back({{N.m_Name, N.m_Disk.m_StorageId}, true});
  const bool InFlight =
      std::any_of(m_Undelivered.begin(), m_Undelivered.end(),
                  containsMembersEntry) ||
      std::any_of(m_Delayed.begin(), m_Delayed.end(), containsMembersEntry);
  return !InFlight &&
         std::all_of(m_Nodes.begin(), m_Nodes.end(), [&](const HarnessNode &N) {
           return membersOnDisk(N.m_Disk) == Wanted &&
                  (!N.m_State || currentMembers(*N.m_State) == Wanted);
         });
}

// ---- Without faults.

void RaftHarness::runWithoutFaults(Duration Time) {
  const Duration End = m_Time + Time;
  while (m_Time < End) {
    for (int I = 0; I < 200 && !m_Undelivered.empty(); ++I)
      deliverOne(false);
    m_Time += FaultFreeStep;
    tickAll();
  }
}

void RaftHarness::runOneStep() {
  if (!m_Undelivered.empty()) {
    deliverOne(false);
    endStoppedNodes();
    return;
  }
  m_Time += FaultFreeStep;
  tickAll();
}

bool RaftHarness::allVote() {
  const HarnessNode *L = leader();
  if (!L || !mayRead(*L->m_State, now(*L)))
    return false;
  const MembersAt &Last = L->m_State->m_Members.back();
  return Last.m_Index <= L->m_State->m_Commit &&
         std::all_of(m_Nodes.begin(), m_Nodes.end(), [&](const HarnessNode &N) {
           return isVoter(Last.m_Members, {N.m_Name, N.m_Disk.m_StorageId});
         });
}

bool RaftHarness::recover() {
  m_BlockedLinks.clear();
  for (HarnessNode &N : m_Nodes) {
    resume(N);
    if (N.m_StopDeadline)
      kill(N);
    if (!N.m_State)
      restart(N);
  }
  for (int Tries = 0; Tries < 300 && !allVote(); ++Tries)
    runWithoutFaults(200ms);
  if (!allVote())
    return false;
  propose(*leader(), 1);
  runWithoutFaults(600ms);
  const LogIndex Last = m_Committed.rbegin()->first;
  return std::all_of(m_Nodes.begin(), m_Nodes.end(),
                     [&](const HarnessNode &N) { return N.m_Applied == Last; });
}

} // namespace mangocart
