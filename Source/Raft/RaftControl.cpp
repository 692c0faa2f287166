// Turns of the control thread: events in, effects out.
#include "Raft/RaftControl.h"

#include "Raft/FileSystem.h"
#include "Raft/RaftEvents.h"
#include "Raft/StateMachine.h"

#include <algorithm>
#include <limits>
#include <random>
#include <utility>

namespace mangocart {

namespace {

// Without a leader for longer, commands are refused at once.
constexpr Duration LeaderPatience = std::chrono::milliseconds(2600);
constexpr Duration LongestWait = std::chrono::seconds(1);

Random seededFromSystem() {
  std::random_device Device;
  return Random((std::uint64_t{Device()} << 32U) | Device());
}

} // namespace

RaftControl::RaftControl(RaftRunnerOptions Options, StateMachine &Machine,
                         WorkerPool &Workers, PeerClient &Client,
                         PeerServer &Server, RaftRunner::FatalHandler OnFatal,
                         EventLog *Events)
    : m_Options(std::move(Options)),
      m_Endpoints(endpointsOf(m_Options.m_Peers)),
      m_Voters(votersOf(m_Options.m_Peers)), m_Machine(Machine),
      m_OnFatal(std::move(OnFatal)), m_Events(Events),
      m_Forwarder(m_Options.m_Name, m_Endpoints, m_Voters, Workers, Client),
      m_Generator(seededFromSystem()),
      m_Transport(Client, Server, m_Endpoints) {}

void RaftControl::start() {
  m_Thread = std::thread([this] { run(); });
}

// ---- Any thread.

void RaftControl::serve(PeerServer &Server) {
  m_Transport.onMessage([Self = weak_from_this()](RaftMessage Message) {
    if (const auto Live = Self.lock())
      Live->receive(std::move(Message));
  });
  m_Forwarder.serve(Server, weak_from_this());
}

void RaftControl::submit(PendingProposal Proposal) {
  if (!m_Inbox.add(Proposal))
    answer(std::move(Proposal), noQuorum("the process is stopping"));
}

void RaftControl::receive(RaftMessage Message) {
  if (m_State)
    m_Inbox.add(std::move(Message));
}

void RaftControl::stop() {
  m_Inbox.close();
  if (m_Thread.joinable())
    m_Thread.join();
  m_SnapshotTaker.stop();
  m_Transport.onMessage({});
}

std::string RaftControl::leader() const {
  {
    const std::lock_guard Lock(m_StatusMutex);
    if (!m_Status.m_Leader.empty())
      return m_Status.m_Leader;
  }
  return m_Forwarder.leaderHint();
}

bool RaftControl::leaseHeld() const {
  const std::lock_guard Lock(m_StatusMutex);
  return m_MayRead && m_LeaseEnd && RuntimeClock::now() < *m_LeaseEnd;
}

RaftStatus RaftControl::status() const {
  const std::lock_guard Lock(m_StatusMutex);
  return m_Status;
}

RaftCounters RaftControl::counters() const {
  RaftCounters Counters;
  Counters.m_Proposals = m_ProposalCount;
  Counters.m_Batches = m_BatchCount;
  Counters.m_Syncs = m_SyncCount;
  Counters.m_Messages = m_Transport.messagesSent();
  Counters.m_Bytes = m_Transport.bytesSent();
  Counters.m_LongestTurn = m_LongestTurn;
  return Counters;
}

void RaftControl::answer(PendingProposal Proposal,
                         ProposalForwarder::Reply With) {
  m_Forwarder.answer(std::move(Proposal), std::move(With));
}

// ---- The control thread.

Result<void, StorageError> RaftControl::openFolder() {
  if (m_Options.m_DataFolder.empty())
    return success();
  m_Files = makePosixFileSystem();
  BOOST_OUTCOME_TRY(
      m_Storage,
      RaftStorage::open(*m_Files, m_Options.m_DataFolder, m_Generator));
  RaftConfig Config;
  Config.m_Self = {m_Options.m_Name, m_Storage->storageId()};
  Config.m_Voters = m_Voters;
  if (m_Options.m_MayBootstrap && !m_Voters.empty())
    Config.m_Bootstrap = m_Voters.front();
  Config.m_Open = m_Options.m_Open;
  Config.m_Timing = m_Options.m_Timing;
  Config.m_Limits = m_Options.m_Limits;
  const RecoveredState &Recovered = m_Storage->recovered();
  if (Recovered.m_Snapshot) {
    m_Machine.restore(Recovered.m_Snapshot->m_Data);
    m_Applied = m_SnapshotIndex = Recovered.m_Snapshot->m_LastIndex;
  }
  m_State = makeRaftState(std::move(Config), Recovered, RuntimeClock::now(),
                          m_Generator);
  publish();
  return success();
}

void RaftControl::run() {
  m_LeaderSeen = RuntimeClock::now();
  while (wait()) {
    const TimePoint Began = RuntimeClock::now();
    turn();
    m_LongestTurn = std::max(m_LongestTurn.load(), RuntimeClock::now() - Began);
  }
  for (auto &[Id, P] : m_Tried)
    answer(std::move(P), inDoubt("the process stopped"));
  for (PendingProposal &P : m_Queue.takeAll())
    answer(std::move(P), inDoubt("the process stopped"));
}

// False when the runner ends.
bool RaftControl::wait() {
  TimePoint Due = RuntimeClock::now() + LongestWait;
  if (m_State)
    Due = std::min(Due, nextWake(*m_State));
  Due = std::min(Due, m_Queue.nextDue().value_or(Due));
  return m_Inbox.wait(Due) && !m_Failed;
}

// Everything that has come in since the last turn: one batch, one sync.
void RaftControl::turn() {
  std::vector<RaftEffect> Effects;
  for (const RaftEvent &E : takeEvents()) {
    std::vector<RaftEffect> More =
        step(*m_State, E, RuntimeClock::now(), m_Generator);
    std::move(More.begin(), More.end(), std::back_inserter(Effects));
  }
  carryOut(orderForOneSync(std::move(Effects)));
  for (PendingProposal &P :
       m_Queue.takeInDoubt(m_SnapshotIndex, RuntimeClock::now()))
    answer(std::move(P), inDoubt("appended, but not known to be committed"));
  takeSnapshotIfDue();
  publish();
}

std::vector<RaftEvent> RaftControl::takeEvents() {
  RaftInbox::Batch In = m_Inbox.take();
  std::vector<RaftEvent> Events;
  // One more for the proposals, one for the tick.
  Events.reserve(In.m_Messages.size() + 2);
  for (RaftMessage &M : In.m_Messages)
    Events.emplace_back(Receive{std::move(M)});
  const TimePoint Now = RuntimeClock::now();
  for (PendingProposal &P : m_Queue.takeDue(Now))
    In.m_Proposals.push_back(std::move(P));
  Propose Batch;
  tryProposals(std::move(In.m_Proposals), Batch);
  if (!Batch.m_Proposals.empty()) {
    ++m_BatchCount;
    Events.emplace_back(std::move(Batch));
  }
  if (m_State && Now >= nextWake(*m_State))
    Events.emplace_back(Tick{});
  return Events;
}

void RaftControl::tryProposals(std::vector<PendingProposal> Proposals,
                               Propose &Batch) {
  for (PendingProposal &P : Proposals) {
    const bool Here =
        m_State && (P.m_Forwarded || m_State->m_Role == RaftRole::Leader);
    if (!Here && P.m_Forwarded) {
      answer(std::move(P), noQuorum("this process has no data folder"));
      continue;
    }
    if (!Here) {
      forward(std::move(P));
      continue;
    }
    P.m_Command.set_leader_time_ms(commandTimeMs());
    const std::uint64_t Id = m_NextProposalId++;
    Batch.m_Proposals.push_back({Id, P.m_Command.SerializeAsString()});
    m_Tried.emplace(Id, std::move(P));
  }
}

std::uint64_t RaftControl::commandTimeMs() const {
  if (!m_Options.m_CommandTimeMs)
    return RuntimeClock::wallMilliseconds();
  return m_Options.m_CommandTimeMs(m_State->m_HardState.m_Term);
}

void RaftControl::forward(PendingProposal Proposal) {
  std::optional<std::string> Leader;
  if (m_State)
    Leader = m_State->m_Leader;
  if (!m_Forwarder.forward(Proposal, Leader, shared_from_this()))
    retryLater(std::move(Proposal));
}

void RaftControl::retryLater(PendingProposal Proposal) {
  const TimePoint Now = RuntimeClock::now();
  const TimePoint Again = Now + ProposalRetryInterval;
  const bool Leaderless = m_State && Now - m_LeaderSeen > LeaderPatience;
  if (Leaderless || Again >= Proposal.m_Deadline)
    answer(std::move(Proposal), noQuorum("no leader took the command in time"));
  else
    m_Queue.retryAt(Again, std::move(Proposal));
}

void RaftControl::carryOut(std::vector<RaftEffect> Effects) {
  bool Unsynced = false;
  for (RaftEffect &Effect : Effects) {
    if (carryOutStorage(Effect)) {
      Unsynced = true;
      continue;
    }
    if (Unsynced && !m_Failed) {
      if (const auto Done = m_Storage->sync(); Done.has_error())
        fail(Done.error());
      Unsynced = false;
    }
    if (m_Failed)
      return;
    carryOutOne(Effect);
  }
  if (!Unsynced || m_Failed)
    return;
  if (const auto Done = m_Storage->sync(); Done.has_error())
    fail(Done.error());
}

// Whether the effect is for the data folder.
bool RaftControl::carryOutStorage(const RaftEffect &Effect) {
  if (const auto *Records = std::get_if<PersistLog>(&Effect)) {
    m_Storage->append(*Records);
    return true;
  }
  const auto *Save = std::get_if<SaveSnapshot>(&Effect);
  if (!Save)
    return false;
  const bool IsPrepared =
      m_Prepared && m_Prepared->m_Snapshot == Save->m_Snapshot;
  const auto Done =
      IsPrepared
          ? m_Storage->savePreparedSnapshot(*Save, m_Prepared->m_Prepared)
          : m_Storage->saveSnapshot(*Save);
  if (Done.has_error())
    fail(Done.error());
  m_SnapshotIndex = Save->m_Snapshot->m_LastIndex;
  return true;
}

void RaftControl::carryOutOne(RaftEffect &Effect) {
  if (const auto *Message = std::get_if<Send>(&Effect)) {
    m_Transport.send(Message->m_Message, RuntimeClock::now());
  } else if (const auto *Committed = std::get_if<Apply>(&Effect)) {
    apply(Committed->m_Entries);
  } else if (const auto *From = std::get_if<Restore>(&Effect)) {
    m_Machine.restore(From->m_Snapshot->m_Data);
    m_Applied = From->m_Snapshot->m_LastIndex;
  } else if (const auto *Taken = std::get_if<ProposalAppended>(&Effect)) {
    ++m_ProposalCount;
    m_Queue.appended(Taken->m_Index, Taken->m_Term,
                     std::move(m_Tried.extract(Taken->m_Id).mapped()));
  } else if (const auto *Refused = std::get_if<ProposalRefused>(&Effect)) {
    refuse(*Refused);
  } else if (const auto *Role = std::get_if<RoleChanged>(&Effect)) {
    reportRole(m_Events, *Role);
  }
}

void RaftControl::apply(const EntryList &Entries) {
  for (const EntryPtr &Entry : Entries) {
    std::string Result;
    if (Entry->m_Kind == EntryKind::Command)
      Result = m_Machine.apply(Entry->m_Index, Entry->m_Payload);
    m_Applied = Entry->m_Index;
    std::optional<ProposalQueue::Outcome> Waiting = m_Queue.takeApplied(*Entry);
    if (!Waiting)
      continue;
    // Another entry in its place is proof that the command never runs.
    if (!Waiting->m_Committed) {
      retryLater(std::move(Waiting->m_Proposal));
      continue;
    }
    schema::CommandReply Out;
    Out.ParseFromString(Result);
    answer(std::move(Waiting->m_Proposal), std::move(Out));
  }
}

void RaftControl::refuse(const ProposalRefused &Refused) {
  PendingProposal Proposal = std::move(m_Tried.extract(Refused.m_Id).mapped());
  if (Proposal.m_Forwarded)
    answer(std::move(Proposal), noQuorum("not taken by this member"));
  else
    retryLater(std::move(Proposal));
}

void RaftControl::takeSnapshotIfDue() {
  if (m_Failed || !m_State)
    return;
  if (const std::optional<TakenSnapshot> Taken = m_SnapshotTaker.take())
    putSnapshot(*Taken);
  if (isSnapshotDue())
    startSnapshot();
}

bool RaftControl::isSnapshotDue() const {
  if (m_Failed || m_SnapshotTaker.busy() || m_Applied <= m_SnapshotIndex)
    return false;
  const std::uint64_t LogBytes = m_Storage->logBytes();
  const SnapshotPtr &Last = m_State->m_Snapshot;
  const bool Pays = !Last || static_cast<double>(LogBytes) >=
                                 static_cast<double>(Last->m_Data.size()) *
                                     m_Options.m_SnapshotLogShare;
  return LogBytes >= m_Options.m_SnapshotLogBytes ||
         (Pays && m_Applied - m_SnapshotIndex >= m_Options.m_SnapshotEntries);
}

void RaftControl::startSnapshot() {
  RaftSnapshot Head = snapshotHead(*m_State, m_Applied);
  std::unique_ptr<StateMachine> Empty = m_Machine.makeEmpty();
  if (!Empty) {
    Head.m_Data = m_Machine.snapshot();
    carryOut(step(
        *m_State,
        SnapshotTaken{std::make_shared<const RaftSnapshot>(std::move(Head))},
        RuntimeClock::now(), m_Generator));
    return;
  }
  SnapshotJob Job{m_State->m_Snapshot,
                  m_State->m_Log.slice(m_SnapshotIndex + 1, m_Applied,
                                       std::numeric_limits<std::size_t>::max()),
                  std::move(Head)};
  // Files of its own: one object isn't for two threads.
  const auto Write = [Folder = m_Options.m_DataFolder](const RaftSnapshot &S) {
    return RaftStorage::prepareSnapshot(*makePosixFileSystem(), Folder, S);
  };
  m_SnapshotTaker.start(std::move(Job), std::move(Empty), Write,
                        [this] { m_Inbox.wake(); });
}

// Nothing is saved if the leader's snapshot has passed it meanwhile; the file
// that was prepared is then overwritten by the next one.
void RaftControl::putSnapshot(const TakenSnapshot &Taken) {
  m_Prepared = &Taken;
  carryOut(step(*m_State, SnapshotTaken{Taken.m_Snapshot}, RuntimeClock::now(),
                m_Generator));
  m_Prepared = nullptr;
  if (Taken.m_Prepared.has_error() && !m_Failed)
    fail(Taken.m_Prepared.error());
}

void RaftControl::publish() {
  if (!m_State || m_Failed)
    return;
  RaftStatus Status;
  Status.m_Role = m_State->m_Role;
  Status.m_Term = m_State->m_HardState.m_Term;
  Status.m_Leader = m_State->m_Leader;
  Status.m_Self = m_State->m_Config.m_Self;
  Status.m_Commit = m_State->m_Commit;
  Status.m_LastApplied = m_Applied;
  Status.m_SnapshotIndex = m_SnapshotIndex;
  Status.m_LogBytes = m_Storage->logBytes();
  Status.m_Members = currentMembers(*m_State);
  m_SyncCount = m_Storage->syncCount();
  const TimePoint Now = RuntimeClock::now();
  const bool Leads = m_State->m_Role == RaftRole::Leader;
  if (Leads ? mangocart::leaseHeld(*m_State, Now) : !Status.m_Leader.empty())
    m_LeaderSeen = Now;
  if (Status.m_Members != m_Status.m_Members)
    reportMembers(m_Events, Status.m_Members);
  const std::lock_guard Lock(m_StatusMutex);
  m_Status = std::move(Status);
  m_LeaseEnd = leaseEnd(*m_State, Now);
  m_MayRead = mayRead(*m_State, Now);
}

void RaftControl::fail(const StorageError &Error) {
  m_Failed = true;
  {
    const std::lock_guard Lock(m_StatusMutex);
    m_LeaseEnd.reset();
    m_Status.m_Role = RaftRole::Follower;
  }
  reportFailure(m_Events, Error);
  m_OnFatal(Error);
}

} // namespace mangocart
