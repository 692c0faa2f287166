// The control thread of the replicated log.
#include "Raft/RaftRunner.h"

#include "Core/Timer.h"
#include "Core/WorkerPool.h"
#include "Events/EventLog.h"
#include "Net/UnaryMethod.h"
#include "Raft/FileSystem.h"
#include "Raft/ProposalQueue.h"
#include "Raft/RaftNode.h"
#include "Raft/RaftTransport.h"
#include "Raft/StateMachine.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>
#include <utility>

namespace mangocart {

namespace {

constexpr const char *ProposeMethod = "/entry/propose";
constexpr Duration RetryInterval = std::chrono::milliseconds(30);
constexpr Duration DefaultTimeout = std::chrono::seconds(5);
// Without a leader for longer, commands are refused at once.
constexpr Duration LeaderPatience = std::chrono::milliseconds(2600);
constexpr Duration LongestWait = std::chrono::seconds(1);

using Reply = Result<schema::CommandReply, ProposeError>;

ProposeError noQuorum(std::string Detail) {
  return {ProposeErrorCode::NoQuorum, std::move(Detail)};
}

ProposeError inDoubt(std::string Detail) {
  return {ProposeErrorCode::InDoubt, std::move(Detail)};
}

std::map<std::string, PeerEndpoint>
endpointsOf(const std::vector<RaftPeer> &Peers) {
  std::map<std::string, PeerEndpoint> Endpoints;
  for (const RaftPeer &P : Peers)
    Endpoints[P.m_Name] = P.m_Endpoint;
  return Endpoints;
}

std::vector<std::string> votersOf(const std::vector<RaftPeer> &Peers) {
  std::vector<std::string> Names;
  for (const RaftPeer &P : Peers)
    if (P.m_Voter)
      Names.push_back(P.m_Name);
  std::sort(Names.begin(), Names.end());
  return Names;
}

std::string_view nameOf(RaftRole Role) {
  switch (Role) {
  case RaftRole::Follower:
    return "follower";
  case RaftRole::PreCandidate:
    return "pre-candidate";
  case RaftRole::Candidate:
    return "candidate";
  case RaftRole::Leader:
    return "leader";
  }
  return "";
}

std::string toText(const RaftMembers &Members) {
  std::string Text;
  for (const RaftMember &M : Members) {
    Text += Text.empty() ? "" : " ";
    Text += M.m_Id.m_Name + "/" + M.m_Id.m_StorageId;
    Text += M.m_Voter ? "" : "(learner)";
  }
  return Text;
}

Random seededFromSystem() {
  std::random_device Device;
  return Random((std::uint64_t{Device()} << 32U) | Device());
}

} // namespace

// What the runner, its control thread and the handlers of other threads share.
struct RaftRunner::Core : std::enable_shared_from_this<Core> {
  Core(RaftRunnerOptions Options, StateMachine &Machine, WorkerPool &Workers,
       PeerClient &Client, PeerServer &Server, FatalHandler OnFatal,
       EventLog *Events)
      : m_Options(std::move(Options)),
        m_Endpoints(endpointsOf(m_Options.m_Peers)),
        m_Voters(votersOf(m_Options.m_Peers)), m_Machine(Machine),
        m_Workers(Workers), m_Client(Client), m_OnFatal(std::move(OnFatal)),
        m_Events(Events), m_Generator(seededFromSystem()),
        m_Transport(Client, Server, m_Endpoints) {}

  // ---- Any thread.
  void serve(PeerServer &Server);
  void submit(PendingProposal Proposal);
  void receive(RaftMessage Message);
  void stop();
  std::string leader() const;

  // ---- The control thread.
  Result<void, StorageError> openFolder();
  void run();
  bool wait();
  void turn();
  std::vector<RaftEvent> takeEvents(std::vector<RaftMessage> Messages,
                                    std::vector<PendingProposal> Proposals);
  void tryProposals(std::vector<PendingProposal> Proposals, Propose &Batch);
  std::uint64_t commandTimeMs() const;
  void forward(PendingProposal Proposal);
  std::string nextTarget();
  void handleForwarded(PendingProposal Proposal,
                       const Result<std::string, PeerError> &Bytes);
  void carryOut(std::vector<RaftEffect> Effects);
  bool carryOutStorage(const RaftEffect &Effect);
  void carryOutOne(RaftEffect &Effect);
  void apply(const EntryList &Entries);
  void refuse(const ProposalRefused &Refused);
  void takeSnapshotIfDue();
  void publish();
  void answer(PendingProposal Proposal, Reply With);
  void retryLater(PendingProposal Proposal);
  void fail(const StorageError &Error);

  const RaftRunnerOptions m_Options;
  const std::map<std::string, PeerEndpoint> m_Endpoints;
  const std::vector<std::string> m_Voters;
  StateMachine &m_Machine;
  WorkerPool &m_Workers;
  PeerClient &m_Client;
  const FatalHandler m_OnFatal;
  EventLog *const m_Events;

  // Used only on the control thread once it runs.
  Random m_Generator;
  RaftTransport m_Transport;
  std::unique_ptr<FileSystem> m_Files;
  // Both null without a data folder.
  std::unique_ptr<RaftStorage> m_Storage;
  std::optional<RaftState> m_State;
  ProposalQueue m_Queue;
  std::map<std::uint64_t, PendingProposal> m_Tried;
  std::uint64_t m_NextProposalId = 1;
  LogIndex m_Applied = 0;
  LogIndex m_SnapshotIndex = 0;
  std::size_t m_NextVoter = 0;
  TimePoint m_LeaderSeen;
  bool m_Failed = false;

  // The inbox. A leaf of the lock order, like m_StatusMutex.
  std::mutex m_InboxMutex;
  std::condition_variable m_InboxFilled;
  // Guarded by m_InboxMutex.
  std::vector<RaftMessage> m_Messages;
  std::vector<PendingProposal> m_Proposals;
  bool m_Stopping = false;

  mutable std::mutex m_StatusMutex;
  // Guarded by m_StatusMutex. m_LeaderHint is for processes that are no member.
  RaftStatus m_Status;
  std::optional<TimePoint> m_LeaseEnd;
  bool m_MayRead = false;
  std::string m_LeaderHint;

  std::atomic<std::uint64_t> m_ProposalCount{0};
  std::atomic<std::uint64_t> m_BatchCount{0};
  std::atomic<std::uint64_t> m_SyncCount{0};
  std::thread m_Thread;
};

// ---- Any thread.

void RaftRunner::Core::serve(PeerServer &Server) {
  m_Transport.onMessage([Self = weak_from_this()](RaftMessage Message) {
    if (const auto Live = Self.lock())
      Live->receive(std::move(Message));
  });
  addAsyncMethod(
      Server, ProposeMethod,
      [Self = weak_from_this()](std::string_view Bytes,
                                const UnaryAnswer &Answer) {
        const auto Live = Self.lock();
        schema::ProposeRequest Request;
        if (!Live || !Request.ParseFromArray(Bytes.data(),
                                             static_cast<int>(Bytes.size())))
          return false;
        PendingProposal Proposal;
        const Duration Timeout =
            std::chrono::milliseconds(Request.timeout_ms());
        Proposal.m_Deadline =
            RuntimeClock::now() +
            (Timeout == Duration::zero() ? DefaultTimeout : Timeout);
        Proposal.m_Command = std::move(*Request.mutable_command());
        Proposal.m_Forwarded = true;
        Proposal.m_Done = [Answer, Self](const Reply &Outcome) {
          const auto Here = Self.lock();
          const std::string Leader = Here ? Here->leader() : std::string();
          const bool Leads = Here && Leader == Here->m_Options.m_Name;
          schema::ProposeReply Out;
          Out.set_leader(Leader);
          if (Outcome) {
            Out.set_status(schema::ProposeReply::COMMITTED);
            *Out.mutable_reply() = Outcome.value();
          } else if (Outcome.error().m_Code == ProposeErrorCode::InDoubt) {
            Out.set_status(schema::ProposeReply::IN_DOUBT);
          } else {
            Out.set_status(Leads ? schema::ProposeReply::NO_QUORUM
                                 : schema::ProposeReply::NOT_LEADER);
          }
          Answer(Out.SerializeAsString());
        };
        Live->submit(std::move(Proposal));
        return true;
      });
}

void RaftRunner::Core::submit(PendingProposal Proposal) {
  {
    const std::lock_guard Lock(m_InboxMutex);
    if (!m_Stopping) {
      m_Proposals.push_back(std::move(Proposal));
      m_InboxFilled.notify_one();
      return;
    }
  }
  answer(std::move(Proposal), noQuorum("the process is stopping"));
}

void RaftRunner::Core::receive(RaftMessage Message) {
  const std::lock_guard Lock(m_InboxMutex);
  if (m_Stopping || !m_State)
    return;
  m_Messages.push_back(std::move(Message));
  m_InboxFilled.notify_one();
}

void RaftRunner::Core::stop() {
  {
    const std::lock_guard Lock(m_InboxMutex);
    m_Stopping = true;
    m_InboxFilled.notify_one();
  }
  if (m_Thread.joinable())
    m_Thread.join();
  m_Transport.onMessage({});
}

std::string RaftRunner::Core::leader() const {
  const std::lock_guard Lock(m_StatusMutex);
  return m_Status.m_Leader.empty() ? m_LeaderHint : m_Status.m_Leader;
}

void RaftRunner::Core::answer(PendingProposal Proposal, Reply With) {
  boost::asio::post(m_Workers.next(), [Done = std::move(Proposal.m_Done),
                                       With = std::move(With)]() mutable {
    Done(std::move(With));
  });
}

// ---- The control thread.

Result<void, StorageError> RaftRunner::Core::openFolder() {
  if (m_Options.m_DataFolder.empty())
    return success();
  m_Files = makePosixFileSystem();
  BOOST_OUTCOME_TRY(
      m_Storage,
      RaftStorage::open(*m_Files, m_Options.m_DataFolder, m_Generator));
  RaftConfig Config;
  Config.m_Self = {m_Options.m_Name, m_Storage->storageId()};
  Config.m_Voters = m_Voters;
  Config.m_Bootstrap = m_Voters.empty() ? std::string() : m_Voters.front();
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

void RaftRunner::Core::run() {
  m_LeaderSeen = RuntimeClock::now();
  while (wait())
    turn();
  for (auto &[Id, P] : m_Tried)
    answer(std::move(P), inDoubt("the process stopped"));
  for (PendingProposal &P : m_Queue.takeAll())
    answer(std::move(P), inDoubt("the process stopped"));
}

// False when the runner ends.
bool RaftRunner::Core::wait() {
  TimePoint Due = RuntimeClock::now() + LongestWait;
  if (m_State)
    Due = std::min(Due, nextWake(*m_State));
  Due = std::min(Due, m_Queue.nextDue().value_or(Due));
  std::unique_lock Lock(m_InboxMutex);
  if (m_Messages.empty() && m_Proposals.empty() && !m_Stopping)
    m_InboxFilled.wait_for(Lock, TimerWaitTraits::to_wait_duration(Due));
  return !m_Stopping && !m_Failed;
}

// Everything that has come in since the last turn: one batch, one sync.
void RaftRunner::Core::turn() {
  std::vector<RaftMessage> Messages;
  std::vector<PendingProposal> Proposals;
  {
    const std::lock_guard Lock(m_InboxMutex);
    Messages.swap(m_Messages);
    Proposals.swap(m_Proposals);
  }
  std::vector<RaftEffect> Effects;
  for (const RaftEvent &E :
       takeEvents(std::move(Messages), std::move(Proposals))) {
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

std::vector<RaftEvent>
RaftRunner::Core::takeEvents(std::vector<RaftMessage> Messages,
                             std::vector<PendingProposal> Proposals) {
  std::vector<RaftEvent> Events;
  // One more for the proposals, one for the tick.
  Events.reserve(Messages.size() + 2);
  for (RaftMessage &M : Messages)
    Events.emplace_back(Receive{std::move(M)});
  const TimePoint Now = RuntimeClock::now();
  for (PendingProposal &P : m_Queue.takeDue(Now))
    Proposals.push_back(std::move(P));
  Propose Batch;
  tryProposals(std::move(Proposals), Batch);
  if (!Batch.m_Proposals.empty()) {
    ++m_BatchCount;
    Events.emplace_back(std::move(Batch));
  }
  if (m_State && Now >= nextWake(*m_State))
    Events.emplace_back(Tick{});
  return Events;
}

void RaftRunner::Core::tryProposals(std::vector<PendingProposal> Proposals,
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

std::uint64_t RaftRunner::Core::commandTimeMs() const {
  if (!m_Options.m_CommandTimeMs)
    return RuntimeClock::wallMilliseconds();
  return m_Options.m_CommandTimeMs(m_State->m_HardState.m_Term);
}

// The leader, or while it is unknown one voter after the other.
std::string RaftRunner::Core::nextTarget() {
  if (m_State)
    return m_State->m_Leader;
  {
    const std::lock_guard Lock(m_StatusMutex);
    if (!m_LeaderHint.empty())
      return m_LeaderHint;
  }
  return m_Voters.empty() ? std::string()
                          : m_Voters[m_NextVoter++ % m_Voters.size()];
}

void RaftRunner::Core::forward(PendingProposal Proposal) {
  const auto Target = m_Endpoints.find(nextTarget());
  const Duration Left = Proposal.m_Deadline - RuntimeClock::now();
  if (Target == m_Endpoints.end() || Target->first == m_Options.m_Name ||
      Left <= Duration::zero()) {
    retryLater(std::move(Proposal));
    return;
  }
  Proposal.m_Target = Target->first;
  schema::ProposeRequest Request;
  *Request.mutable_command() = Proposal.m_Command;
  Request.set_timeout_ms(static_cast<std::uint32_t>(
      std::chrono::ceil<std::chrono::milliseconds>(Left).count()));
  m_Client.call(Target->second, ProposeMethod, Request.SerializeAsString(),
                Left,
                [Self = shared_from_this(), Proposal = std::move(Proposal)](
                    const Result<std::string, PeerError> &Bytes) mutable {
                  Self->handleForwarded(std::move(Proposal), Bytes);
                });
}

// On a worker. Tries again only when nothing can have been appended.
void RaftRunner::Core::handleForwarded(
    PendingProposal Proposal, const Result<std::string, PeerError> &Bytes) {
  schema::ProposeReply Got;
  const bool Answered = Bytes && Got.ParseFromString(Bytes.value());
  const bool Unsent = Bytes.has_error() && Bytes.error().m_NothingSent;
  {
    const std::lock_guard Lock(m_StatusMutex);
    m_LeaderHint = Answered ? Got.leader() : std::string();
  }
  if (Answered && Got.status() == schema::ProposeReply::COMMITTED) {
    answer(std::move(Proposal), std::move(*Got.mutable_reply()));
    return;
  }
  const bool Refused =
      Answered && (Got.status() == schema::ProposeReply::NOT_LEADER ||
                   Got.status() == schema::ProposeReply::NO_QUORUM);
  if (!Refused && !Unsent) {
    answer(std::move(Proposal),
           inDoubt(Answered ? "the leader could not tell whether it committed"
                            : "the leader's answer was lost"));
    return;
  }
  // At once if the answer names another machine.
  const bool Redirected =
      Answered && !Got.leader().empty() && Got.leader() != Proposal.m_Target;
  const TimePoint Again =
      RuntimeClock::now() + (Redirected ? Duration::zero() : RetryInterval);
  if (Again >= Proposal.m_Deadline) {
    answer(std::move(Proposal), noQuorum("no leader took the command in time"));
    return;
  }
  auto Timed = std::make_shared<Timer>(m_Workers.next());
  Timed->expires_at(Again);
  Timed->async_wait(
      [Self = shared_from_this(), Timed,
       Proposal = std::move(Proposal)](boost::system::error_code) mutable {
        Self->submit(std::move(Proposal));
      });
}

void RaftRunner::Core::retryLater(PendingProposal Proposal) {
  const TimePoint Now = RuntimeClock::now();
  const TimePoint Again = Now + RetryInterval;
  const bool Leaderless = m_State && Now - m_LeaderSeen > LeaderPatience;
  if (Leaderless || Again >= Proposal.m_Deadline)
    answer(std::move(Proposal), noQuorum("no leader took the command in time"));
  else
    m_Queue.retryAt(Again, std::move(Proposal));
}

void RaftRunner::Core::carryOut(std::vector<RaftEffect> Effects) {
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
bool RaftRunner::Core::carryOutStorage(const RaftEffect &Effect) {
  if (const auto *Records = std::get_if<PersistLog>(&Effect)) {
    m_Storage->append(*Records);
    return true;
  }
  const auto *Save = std::get_if<SaveSnapshot>(&Effect);
  if (!Save)
    return false;
  if (const auto Done = m_Storage->saveSnapshot(*Save); Done.has_error())
    fail(Done.error());
  m_SnapshotIndex = Save->m_Snapshot->m_LastIndex;
  return true;
}

void RaftRunner::Core::carryOutOne(RaftEffect &Effect) {
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
    if (m_Events)
      m_Events->write(Event::RaftRoleChanged,
                      {{"role", nameOf(Role->m_Role)}, {"term", Role->m_Term}});
  }
}

void RaftRunner::Core::apply(const EntryList &Entries) {
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

void RaftRunner::Core::refuse(const ProposalRefused &Refused) {
  PendingProposal Proposal = std::move(m_Tried.extract(Refused.m_Id).mapped());
  if (Proposal.m_Forwarded)
    answer(std::move(Proposal), noQuorum("not taken by this member"));
  else
    retryLater(std::move(Proposal));
}

void RaftRunner::Core::takeSnapshotIfDue() {
  if (m_Failed || !m_State || m_Applied <= m_SnapshotIndex)
    return;
  if (m_Applied - m_SnapshotIndex < m_Options.m_SnapshotEntries &&
      m_Storage->logBytes() < m_Options.m_SnapshotLogBytes)
    return;
  carryOut(step(*m_State, SnapshotTaken{m_Applied, m_Machine.snapshot()},
                RuntimeClock::now(), m_Generator));
}

void RaftRunner::Core::publish() {
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
  const bool Changed = Status.m_Members != m_Status.m_Members;
  if (Changed && m_Events)
    m_Events->write(Event::RaftMembersChanged,
                    {{"members", toText(Status.m_Members)}});
  const std::lock_guard Lock(m_StatusMutex);
  m_Status = std::move(Status);
  m_LeaseEnd = leaseEnd(*m_State, Now);
  m_MayRead = mayRead(*m_State, Now);
}

void RaftRunner::Core::fail(const StorageError &Error) {
  m_Failed = true;
  {
    const std::lock_guard Lock(m_StatusMutex);
    m_LeaseEnd.reset();
    m_Status.m_Role = RaftRole::Follower;
  }
  if (m_Events)
    m_Events->write(Event::RaftStorageFailed, {{"file", Error.m_File},
                                               {"offset", Error.m_Offset},
                                               {"reason", Error.m_Message}});
  m_OnFatal(Error);
}

// ---- The runner.

RaftRunner::RaftRunner(std::shared_ptr<Core> Shared)
    : m_Core(std::move(Shared)) {}

Result<std::unique_ptr<RaftRunner>, StorageError>
RaftRunner::start(RaftRunnerOptions Options, StateMachine &Machine,
                  WorkerPool &Workers, PeerClient &Client, PeerServer &Server,
                  FatalHandler OnFatal, EventLog *Events) {
  auto Shared =
      std::make_shared<Core>(std::move(Options), Machine, Workers, Client,
                             Server, std::move(OnFatal), Events);
  BOOST_OUTCOME_TRYV(Shared->openFolder());
  Shared->serve(Server);
  Shared->m_Thread = std::thread([&Running = *Shared] { Running.run(); });
  return std::unique_ptr<RaftRunner>(new RaftRunner(std::move(Shared)));
}

RaftRunner::~RaftRunner() { m_Core->stop(); }

void RaftRunner::propose(schema::Command Command, Duration Timeout,
                         ProposeHandler Done) {
  m_Core->submit({std::move(Command),
                  RuntimeClock::now() + Timeout,
                  std::move(Done),
                  false,
                  {}});
}

std::string RaftRunner::leader() const { return m_Core->leader(); }

bool RaftRunner::leaseHeld() const {
  const std::lock_guard Lock(m_Core->m_StatusMutex);
  return m_Core->m_MayRead && m_Core->m_LeaseEnd &&
         RuntimeClock::now() < *m_Core->m_LeaseEnd;
}

RaftStatus RaftRunner::status() const {
  const std::lock_guard Lock(m_Core->m_StatusMutex);
  return m_Core->m_Status;
}

RaftCounters RaftRunner::counters() const {
  RaftCounters Counters;
  Counters.m_Proposals = m_Core->m_ProposalCount;
  Counters.m_Batches = m_Core->m_BatchCount;
  Counters.m_Syncs = m_Core->m_SyncCount;
  Counters.m_Messages = m_Core->m_Transport.messagesSent();
  Counters.m_Bytes = m_Core->m_Transport.bytesSent();
  return Counters;
}

} // namespace mangocart
