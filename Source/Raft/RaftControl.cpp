// Event loop of the control thread: collects events and executes their effects.
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

// Commands are refused without waiting when no leader was known for longer.
constexpr Duration NoLeaderTimeout = std::chrono::milliseconds(2600);
constexpr Duration MaxWait = std::chrono::seconds(1);
constexpr std::chrono::milliseconds DiskFullRetryInterval{50};

Random makeSeededGenerator() {
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
      m_Generator(makeSeededGenerator()),
      m_Transport(Client, Server, m_Endpoints) {}

void RaftControl::start() {
  m_Thread = std::thread([this] { run(); });
}

// ---- Called from any thread.

void RaftControl::serve(PeerServer &Server) {
  m_Transport.onMessage([Self = weak_from_this()](RaftMessage Message) {
    if (const auto Live = Self.lock())
      Live->receive(std::move(Message));
  });
  m_Forwarder.serve(Server, weak_from_this());
}

void RaftControl::submit(PendingProposal Proposal) {
  if (!m_Inbox.add(Proposal))
    complete(std::move(Proposal), noQuorum("the process is stopping"));
}

void RaftControl::receive(RaftMessage Message) {
  if (m_State)
    m_Inbox.add(std::move(Message));
}

void RaftControl::prepareStop(std::function<void()> OnMayStop) {
  m_Inbox.addStop(std::move(OnMayStop));
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
  Counters.m_LongestIteration = m_LongestIteration;
  return Counters;
}

void RaftControl::complete(PendingProposal Proposal,
                           ProposalForwarder::Reply Outcome) {
  m_Forwarder.complete(std::move(Proposal), std::move(Outcome));
}

// ---- Called on the control thread.

Result<void, StorageError> RaftControl::openStorage() {
  if (m_Options.m_DataFolder.empty())
    return success();
  m_Files = m_Options.m_MakeFileSystem([this] { return waitForDiskSpace(); });
  BOOST_OUTCOME_TRY(
      m_Storage,
      RaftStorage::open(*m_Files, m_Options.m_DataFolder, m_Generator));
  RaftConfig Config;
  Config.m_Self = {m_Options.m_Name, m_Storage->storageId()};
  Config.m_Voters = m_Voters;
  if (m_Options.m_MayBootstrap && !m_Voters.empty())
    Config.m_Bootstrap = m_Voters.front();
  Config.m_OpenMembership = m_Options.m_OpenMembership;
  Config.m_Timing = m_Options.m_Timing;
  Config.m_Limits = m_Options.m_Limits;
  const RecoveredState &Recovered = m_Storage->recovered();
  if (Recovered.m_Snapshot) {
    m_Machine.restore(Recovered.m_Snapshot->m_Data);
    m_Applied = m_SnapshotIndex = Recovered.m_Snapshot->m_LastIndex;
  }
  for (const EntryPtr &Each : Recovered.m_Entries)
    if (Each->m_Kind == EntryKind::Command)
      m_Machine.noteStored(Each->m_Payload);
  m_State = makeRaftState(std::move(Config), Recovered, RuntimeClock::now(),
                          m_Generator);
  publish();
  return success();
}

// Handled like a disk that stalls: nothing that depends on the write is sent,
// so other voters take over.
bool RaftControl::waitForDiskSpace() {
  m_DiskFull.report(m_Events, m_Options.m_DataFolder);
  return m_Inbox.waitUnlessClosed(RuntimeClock::now() + DiskFullRetryInterval);
}

void RaftControl::run() {
  m_LastLeaderContact = RuntimeClock::now();
  TimePoint LastStart = m_LastLeaderContact;
  while (wait()) {
    const TimePoint Start = RuntimeClock::now();
    // A time in which nothing was received says nothing about the leader.
    m_LastLeaderContact += std::max(Start - LastStart - MaxWait, Duration(0));
    LastStart = Start;
    runIteration();
    m_LongestIteration =
        std::max(m_LongestIteration.load(), RuntimeClock::now() - Start);
  }
  for (auto &[Id, P] : m_ProposalsById)
    complete(std::move(P), inDoubt("the process stopped"));
  for (PendingProposal &P : m_Queue.takeAll())
    complete(std::move(P), inDoubt("the process stopped"));
}

// Returns false when the runner stops.
bool RaftControl::wait() {
  TimePoint Due = RuntimeClock::now() + MaxWait;
  if (m_State)
    Due = std::min(Due, nextTickTime(*m_State));
  Due = std::min(Due, m_Queue.nextDue().value_or(Due));
  return m_Inbox.wait(Due) && !m_Failed;
}

// Handles all events received since the last iteration as one batch with one
// sync.
void RaftControl::runIteration() {
  std::vector<RaftEffect> Effects;
  for (const RaftEvent &E : collectEvents()) {
    std::vector<RaftEffect> More =
        step(*m_State, E, RuntimeClock::now(), m_Generator);
    std::move(More.begin(), More.end(), std::back_inserter(Effects));
  }
  executeEffects(groupStorageEffects(std::move(Effects)));
  for (PendingProposal &P :
       m_Queue.takeInDoubt(m_SnapshotIndex, RuntimeClock::now()))
    complete(std::move(P), inDoubt("appended, but not known to be committed"));
  takeSnapshotIfDue();
  publish();
  reportMayStop();
}

std::vector<RaftEvent> RaftControl::collectEvents() {
  RaftInbox::Batch In = m_Inbox.take();
  std::vector<RaftEvent> Events;
  // One more event each for the proposals, for a stop and for the tick.
  Events.reserve(In.m_Messages.size() + 3);
  for (RaftMessage &M : In.m_Messages)
    Events.emplace_back(Receive{std::move(M)});
  const TimePoint Now = RuntimeClock::now();
  for (PendingProposal &P : m_Queue.takeDue(Now))
    In.m_Proposals.push_back(std::move(P));
  Propose Batch;
  routeProposals(std::move(In.m_Proposals), Batch);
  if (!Batch.m_Proposals.empty()) {
    ++m_BatchCount;
    Events.emplace_back(std::move(Batch));
  }
  if (In.m_OnMayStop) {
    m_OnMayStop = std::move(In.m_OnMayStop);
    if (m_State)
      Events.emplace_back(PrepareStop{});
  }
  if (m_State && Now >= nextTickTime(*m_State))
    Events.emplace_back(Tick{});
  return Events;
}

void RaftControl::routeProposals(std::vector<PendingProposal> Proposals,
                                 Propose &Batch) {
  for (PendingProposal &P : Proposals) {
    const bool Here =
        m_State && (P.m_Forwarded || m_State->m_Role == RaftRole::Leader);
    if (!Here && P.m_Forwarded) {
      complete(std::move(P), noQuorum("this process has no data folder"));
      continue;
    }
    if (!Here) {
      forward(std::move(P));
      continue;
    }
    P.m_Command.set_leader_time_ms(commandTimeMs());
    const std::uint64_t Id = m_NextProposalId++;
    Batch.m_Proposals.push_back({Id, P.m_Command.SerializeAsString()});
    m_ProposalsById.emplace(Id, std::move(P));
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
  const TimePoint RetryTime = Now + ProposalRetryInterval;
  const bool NoLeader = m_State && Now - m_LastLeaderContact > NoLeaderTimeout;
  if (NoLeader || RetryTime >= Proposal.m_Deadline)
    complete(std::move(Proposal),
             noQuorum("no leader took the command in time"));
  else
    m_Queue.scheduleRetry(RetryTime, std::move(Proposal));
}

void RaftControl::executeEffects(std::vector<RaftEffect> Effects) {
  bool Unsynced = false;
  for (RaftEffect &Effect : Effects) {
    if (executeStorageEffect(Effect)) {
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
    executeEffect(Effect);
  }
  if (!Unsynced || m_Failed)
    return;
  if (const auto Done = m_Storage->sync(); Done.has_error())
    fail(Done.error());
}

// Executes an effect on the data folder; returns false for other effects.
bool RaftControl::executeStorageEffect(const RaftEffect &Effect) {
  if (const auto *Records = std::get_if<PersistLog>(&Effect)) {
    m_Storage->append(*Records);
    return true;
  }
  const auto *Save = std::get_if<SaveSnapshot>(&Effect);
  if (!Save)
    return false;
  const bool IsPrepared =
      m_PreparedSnapshot && m_PreparedSnapshot->m_Snapshot == Save->m_Snapshot;
  const auto Done = IsPrepared ? m_Storage->savePreparedSnapshot(
                                     *Save, m_PreparedSnapshot->m_PrepareResult)
                               : m_Storage->saveSnapshot(*Save);
  if (Done.has_error())
    fail(Done.error());
  m_SnapshotIndex = Save->m_Snapshot->m_LastIndex;
  return true;
}

void RaftControl::executeEffect(RaftEffect &Effect) {
  if (const auto *Message = std::get_if<Send>(&Effect)) {
    m_Transport.send(Message->m_Message, RuntimeClock::now());
  } else if (const auto *Committed = std::get_if<Apply>(&Effect)) {
    apply(Committed->m_Entries);
  } else if (const auto *From = std::get_if<Restore>(&Effect)) {
    m_Machine.restore(From->m_Snapshot->m_Data);
    m_Applied = From->m_Snapshot->m_LastIndex;
  } else if (const auto *Taken = std::get_if<ProposalAppended>(&Effect)) {
    ++m_ProposalCount;
    m_Queue.addAppended(
        Taken->m_Index, Taken->m_Term,
        std::move(m_ProposalsById.extract(Taken->m_Id).mapped()));
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
    std::optional<ProposalQueue::Outcome> Pending = m_Queue.takeApplied(*Entry);
    if (!Pending)
      continue;
    // Another entry was committed at this index, so the command will never be
    // applied and can be proposed again.
    if (!Pending->m_Committed) {
      retryLater(std::move(Pending->m_Proposal));
      continue;
    }
    schema::CommandReply Out;
    Out.ParseFromString(Result);
    complete(std::move(Pending->m_Proposal), std::move(Out));
  }
}

void RaftControl::refuse(const ProposalRefused &Refused) {
  PendingProposal Proposal =
      std::move(m_ProposalsById.extract(Refused.m_Id).mapped());
  if (Proposal.m_Forwarded)
    complete(std::move(Proposal), noQuorum("not taken by this member"));
  else
    retryLater(std::move(Proposal));
}

void RaftControl::takeSnapshotIfDue() {
  if (m_Failed || !m_State)
    return;
  if (const std::optional<TakenSnapshot> Taken = m_SnapshotTaker.take())
    saveTakenSnapshot(*Taken);
  if (isSnapshotDue())
    startSnapshot();
}

bool RaftControl::isSnapshotDue() const {
  if (m_Failed || m_SnapshotTaker.busy() || m_Applied <= m_SnapshotIndex)
    return false;
  const std::uint64_t LogBytes = m_Storage->logBytes();
  const SnapshotPtr &Last = m_State->m_Snapshot;
  const bool LargeEnough =
      !Last || static_cast<double>(LogBytes) >=
                   static_cast<double>(Last->m_Data.size()) *
                       m_Options.m_SnapshotLogRatio;
  return LogBytes >= m_Options.m_SnapshotLogBytes ||
         (LargeEnough &&
          m_Applied - m_SnapshotIndex >= m_Options.m_SnapshotEntries);
}

void RaftControl::startSnapshot() {
  RaftSnapshot Metadata = snapshotMetadata(*m_State, m_Applied);
  std::unique_ptr<StateMachine> Empty = m_Machine.makeEmpty();
  if (!Empty) {
    Metadata.m_Data = m_Machine.snapshot();
    executeEffects(step(*m_State,
                        SnapshotTaken{std::make_shared<const RaftSnapshot>(
                            std::move(Metadata))},
                        RuntimeClock::now(), m_Generator));
    return;
  }
  SnapshotJob Job{m_State->m_Snapshot,
                  m_State->m_Log.slice(m_SnapshotIndex + 1, m_Applied,
                                       std::numeric_limits<std::size_t>::max()),
                  std::move(Metadata)};
  // A FileSystem object must not be shared by two threads.
  const auto Write = [this](const RaftSnapshot &S) {
    const auto Files = m_Options.m_MakeFileSystem([this] {
      m_SnapshotDiskFull.report(m_Events, m_Options.m_DataFolder);
      return m_SnapshotTaker.waitUnlessStopped(DiskFullRetryInterval);
    });
    return RaftStorage::prepareSnapshot(*Files, m_Options.m_DataFolder, S);
  };
  m_SnapshotTaker.start(std::move(Job), std::move(Empty), Write,
                        [this] { m_Inbox.wake(); });
}

// Nothing is saved if a later snapshot was installed from the leader in the
// meantime; the prepared file is then overwritten by the next one.
void RaftControl::saveTakenSnapshot(const TakenSnapshot &Taken) {
  m_PreparedSnapshot = &Taken;
  executeEffects(step(*m_State, SnapshotTaken{Taken.m_Snapshot},
                      RuntimeClock::now(), m_Generator));
  m_PreparedSnapshot = nullptr;
  if (Taken.m_PrepareResult.has_error() && !m_Failed)
    fail(Taken.m_PrepareResult.error());
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
  const bool IsLeader = m_State->m_Role == RaftRole::Leader;
  if (IsLeader ? mangocart::leaseHeld(*m_State, Now) : !Status.m_Leader.empty())
    m_LastLeaderContact = Now;
  if (Status.m_Members != m_Status.m_Members)
    reportMembers(m_Events, Status.m_Members);
  const std::lock_guard Lock(m_StatusMutex);
  m_Status = std::move(Status);
  m_LeaseEnd = leaseEnd(*m_State, Now);
  m_MayRead = mayRead(*m_State, Now);
}

void RaftControl::reportMayStop() {
  if (!m_OnMayStop || (m_State && !mayStop(*m_State, RuntimeClock::now())))
    return;
  std::exchange(m_OnMayStop, {})();
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
