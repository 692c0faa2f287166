// Watched requests, probes of lost servers and the exchange of evidence.
#include "Gateway/CrashGuard.h"

#include "Core/Hash.h"
#include "Core/Milliseconds.h"
#include "Core/PostTask.h"
#include "Entry/MembershipDirectory.h"
#include "Events/EventLog.h"
#include "Gateway.pb.h"
#include "Gateway/CallerProtocol.h"
#include "Gateway/CrashMessages.h"
#include "Gateway/GatewayMetrics.h"
#include "Http/HttpClients.h"
#include "Raft/RaftPeers.h"

#include <fmt/ranges.h>

#include <algorithm>

namespace mangocart {

namespace {

using std::chrono::milliseconds;

// An answer that has gone on for so long has begun soundly.
constexpr Duration SoundAfter = std::chrono::seconds(1);
// As long as a connection to a backend server may take.
constexpr Duration ProbeTimeout = milliseconds(300);
// Reports of engines have a few hundred bytes.
constexpr std::size_t MaxProbeBodyBytes = std::size_t{64} * 1024;
// Further probes after a reset or an invalid response.
constexpr unsigned MaxProbeRetries = 2;
// Retry-After of a request that another one on probation goes before.
constexpr Duration RetryAfterTrial = std::chrono::seconds(1);

ServerLiveness livenessByError(HttpErrorCode ProbeError) {
  switch (ProbeError) {
  case HttpErrorCode::ConnectFailed:
  case HttpErrorCode::TimedOut:
    return ServerLiveness::Ended;
  case HttpErrorCode::Malformed:
    return ServerLiveness::Unknown;
  default:
    return ServerLiveness::Answering;
  }
}

std::string describe(const std::set<SuspectId> &Suspects) {
  std::vector<std::string> Names;
  Names.reserve(Suspects.size());
  for (const SuspectId &Each : Suspects)
    Names.push_back(toString(Each));
  return fmt::format("{}", fmt::join(Names, ","));
}

// More crashes of one suspect are only counted in the log.
constexpr std::size_t MaxServersLogged = 8;

void runAll(const std::vector<std::function<void()>> &Calls) {
  for (const auto &Call : Calls)
    Call();
}

} // namespace

CrashGuard::CrashGuard(boost::asio::io_context &Worker, HttpClients &Clients,
                       const CallerProtocol &Protocol,
                       MembershipDirectory &Directory, EventLog &Events,
                       GatewayMetrics &Metrics, std::string Name,
                       PeerEndpoint Self)
    : m_Clients(Clients), m_Protocol(Protocol), m_Directory(Directory),
      m_Events(Events), m_Metrics(Metrics), m_Name(std::move(Name)),
      m_Self(std::move(Self)), m_Executor(Worker.get_executor()) {}

ServerRun CrashGuard::runOf(const BackendTarget &Target) {
  return {Target.m_Name, Target.m_Incarnation};
}

CrashGuard::Number CrashGuard::begin(GuardedRequest Request) {
  const std::lock_guard Lock(m_Mutex);
  m_Watched[++m_LastNumber].m_Request = std::move(Request);
  return m_LastNumber;
}

void CrashGuard::end(Number Request) {
  const std::lock_guard Lock(m_Mutex);
  releaseTrials(Request);
  m_Watched.erase(Request);
}

// --- Decisions

GuardDecision CrashGuard::decide(Number Request, bool Reserve) {
  const std::lock_guard Lock(m_Mutex);
  const auto Found = m_Watched.find(Request);
  if (Found == m_Watched.end() || Found->second.m_IsSound ||
      m_Evidence.m_CrashesBySuspect.empty())
    return {};
  return decideLocked(Found->second, Request, Reserve, RuntimeClock::now());
}

GuardDecision CrashGuard::decideLocked(const Watched &Each, Number Request,
                                       bool Reserve, TimePoint Now) {
  const std::string &Service = Each.m_Request.m_Service;
  const bool IsLastUnit = m_Directory.independentUnits(Service) <= 1;
  GuardDecision Decision;
  std::vector<Suspect> OnProbation;
  for (const SuspectId &Id : Each.m_Request.m_Suspects) {
    const Suspect Of{Service, Id};
    const SuspectState State = suspectState(m_Evidence, Of, IsLastUnit, Now);
    if (State == SuspectState::Free)
      continue;
    const Duration Left = timeToNextState(m_Evidence, Of, IsLastUnit, Now);
    if (State == SuspectState::Probation && mayTry(Of, Request)) {
      OnProbation.push_back(Of);
      continue;
    }
    Decision.m_Allowed = false;
    Decision.m_Suspect = Id;
    Decision.m_RetryAfter =
        std::max(Decision.m_RetryAfter, State == SuspectState::Probation
                                            ? std::min(Left, RetryAfterTrial)
                                            : Left);
  }
  if (!Decision.m_Allowed)
    m_Metrics.m_SuspectRejections.add();
  else if (Reserve)
    for (const Suspect &Of : OnProbation)
      m_Trials[Of] = Request;
  return Decision;
}

// One gateway tries the requests on probation: the one with the highest hash
// together with the suspect. All gateways know the same ones, except while
// their list changes.
bool CrashGuard::mayTry(const Suspect &Of, Number Request) const {
  const auto Trial = m_Trials.find(Of);
  if (Trial != m_Trials.end() && Trial->second != Request)
    return false;
  const std::uint64_t Seed = hash64(Of.m_Id.m_Text, hash64(Of.m_Service));
  const std::uint64_t Own = hash64(toString(m_Self), Seed);
  return std::all_of(m_Gateways.begin(), m_Gateways.end(),
                     [&](const PeerEndpoint &Each) {
                       return hash64(toString(Each), Seed) <= Own;
                     });
}

void CrashGuard::releaseTrials(Number Request) {
  std::erase_if(m_Trials,
                [&](const auto &Each) { return Each.second == Request; });
}

// --- Attempts

void CrashGuard::attemptSent(Number Request, const BackendTarget &Target) {
  const std::lock_guard Lock(m_Mutex);
  const auto Found = m_Watched.find(Request);
  if (Found == m_Watched.end())
    return;
  Found->second.m_Target = Target;
  Found->second.m_FirstData.reset();
  Found->second.m_IsCounted = false;
}

void CrashGuard::dataReceived(Number Request) {
  Calls After;
  {
    const std::lock_guard Lock(m_Mutex);
    const auto Found = m_Watched.find(Request);
    if (Found == m_Watched.end() || Found->second.m_IsSound)
      return;
    const TimePoint Now = RuntimeClock::now();
    Watched &Each = Found->second;
    if (!Each.m_FirstData)
      Each.m_FirstData = Now;
    else if (Now - *Each.m_FirstData >= SoundAfter)
      recordSound(Each, Now, After);
  }
  runAll(After);
}

void CrashGuard::answered(Number Request) {
  Calls After;
  {
    const std::lock_guard Lock(m_Mutex);
    const auto Found = m_Watched.find(Request);
    if (Found != m_Watched.end() && !Found->second.m_IsSound)
      recordSound(Found->second, RuntimeClock::now(), After);
  }
  runAll(After);
}

void CrashGuard::attemptEnded(Number Request) {
  const std::lock_guard Lock(m_Mutex);
  releaseTrials(Request);
  const auto Found = m_Watched.find(Request);
  if (Found != m_Watched.end())
    Found->second.m_Target.reset();
}

void CrashGuard::recordSound(Watched &Each, TimePoint Now, Calls &After) {
  Each.m_IsSound = true;
  for (const Suspect &Acquitted :
       recordSoundAnswer(m_Evidence, Each.m_Request.m_Service,
                         Each.m_Request.m_Suspects, Now))
    addAcquittal(Acquitted, Now, After);
}

void CrashGuard::addAcquittal(const Suspect &Of, TimePoint At, Calls &After) {
  m_NewAcquittals[Of] = At;
  After.emplace_back([this, Of] {
    m_Events.write(Event::SuspectReleased, {{"service", Of.m_Service},
                                            {"kind", toString(Of.m_Id.m_Kind)},
                                            {"suspect", Of.m_Id.m_Text}});
    if (m_OnUpdate)
      m_OnUpdate();
  });
}

// --- Crashes

// Whether a crash of the attempt's server implicates the request.
bool CrashGuard::isBeginning(const Watched &Each, TimePoint Now) const {
  return !Each.m_IsSound &&
         (!Each.m_FirstData || Now - *Each.m_FirstData < SoundAfter);
}

void CrashGuard::connectionLost(Number Request, std::function<void()> Done) {
  Calls After;
  {
    const std::lock_guard Lock(m_Mutex);
    const auto Found = m_Watched.find(Request);
    if (Found == m_Watched.end() || !Found->second.m_Target) {
      After.push_back(std::move(Done));
    } else {
      Watched &Each = Found->second;
      const TimePoint Now = RuntimeClock::now();
      const bool IsBeginning = isBeginning(Each, Now);
      const bool Matters =
          IsBeginning &&
          std::any_of(Each.m_Request.m_Suspects.begin(),
                      Each.m_Request.m_Suspects.end(), [&](const auto &Id) {
                        return mayBecomeRestricted(
                            m_Evidence, {Each.m_Request.m_Service, Id}, 1, Now);
                      });
      std::function<void(ServerLiveness)> OnProbed = [](ServerLiveness) {};
      if (Matters)
        OnProbed = [Executor = Each.m_Request.m_Executor,
                    Done](ServerLiveness) { postTask(Executor, Done); };
      LostConnections &Lost =
          probe(*Each.m_Target, Now, std::move(OnProbed), After);
      if (IsBeginning)
        implicate(Each, Lost.m_Implicated);
      if (!Matters)
        After.push_back(std::move(Done));
    }
  }
  runAll(After);
}

void CrashGuard::verifyRunning(const BackendTarget &Target,
                               boost::asio::any_io_executor Executor,
                               std::function<void(ServerLiveness)> Done) {
  Calls After;
  {
    const std::lock_guard Lock(m_Mutex);
    probe(
        Target, RuntimeClock::now(),
        [Executor = std::move(Executor),
         Done = std::move(Done)](ServerLiveness Liveness) {
          postTask(Executor, [Done, Liveness] { Done(Liveness); });
        },
        After);
  }
  runAll(After);
}

// A known crash doesn't count: the server may only have been silent.
CrashGuard::LostConnections &
CrashGuard::probe(const BackendTarget &Target, TimePoint Now,
                  std::function<void(ServerLiveness)> Done, Calls &After) {
  const auto [At, Inserted] = m_Lost.try_emplace(runOf(Target));
  LostServer &Server = At->second;
  LostConnections &Lost = Inserted ? Server.m_Probed : Server.m_Later;
  if (Lost.m_Waiting.empty())
    Lost.m_At = Now;
  Lost.m_Waiting.push_back(std::move(Done));
  if (Inserted) {
    Server.m_Target = Target;
    sendProbe(Target, 0, After);
  }
  return Lost;
}

// A start under the same name has another incarnation.
ServerLiveness CrashGuard::livenessOf(const BackendTarget &Target,
                                      std::string_view ProbeBody) const {
  const auto Named = m_Protocol.readIncarnation(ProbeBody);
  if (!Named || Target.m_Incarnation == 0)
    return ServerLiveness::Answering;
  return *Named == Target.m_Incarnation ? ServerLiveness::Running
                                        : ServerLiveness::Ended;
}

// Any valid response shows that a server runs. A server that has ended refuses
// connections, or its machine gives no answer. A reset connection may have been
// accepted by a server that was ending, or by one that has too many.
void CrashGuard::sendProbe(const BackendTarget &Target, unsigned Retries,
                           Calls &After) {
  After.emplace_back([this, Self = shared_from_this(), Target, Retries] {
    postTask(m_Executor, [this, Self, Target, Retries] {
      HttpCallHandlers Handlers;
      const auto Body = std::make_shared<std::string>();
      Handlers.m_OnHead = [](const HttpHead &) {};
      Handlers.m_OnBody = [Body](std::string_view Piece) {
        Body->append(Piece);
      };
      Handlers.m_MaxBodyBytes = MaxProbeBodyBytes;
      Handlers.m_OnEnd = [Self, Target, Body] {
        Self->onProbed(runOf(Target), Self->livenessOf(Target, *Body));
      };
      Handlers.m_OnError = [Self, Target, Retries](const HttpError &Error) {
        const bool IsRepeated = Error.m_Code == HttpErrorCode::ConnectionLost ||
                                Error.m_Code == HttpErrorCode::Malformed;
        if (IsRepeated && Retries < MaxProbeRetries) {
          Calls Again;
          Self->sendProbe(Target, Retries + 1, Again);
          return runAll(Again);
        }
        Self->onProbed(runOf(Target), livenessByError(Error.m_Code));
      };
      m_Clients.on(m_Executor)
          .send({Target.m_Agent.m_Address, Target.m_Agent.m_Port},
                m_Protocol.livenessProbe(), ProbeTimeout, std::move(Handlers));
    });
  });
}

void CrashGuard::onProbed(const ServerRun &Run, ServerLiveness Liveness) {
  const bool Running = Liveness != ServerLiveness::Ended;
  Calls After;
  std::vector<std::function<void(ServerLiveness)>> Waiting;
  {
    const std::lock_guard Lock(m_Mutex);
    const auto Found = m_Lost.find(Run);
    if (Found == m_Lost.end())
      return;
    LostServer &Lost = Found->second;
    Waiting = std::move(Lost.m_Probed.m_Waiting);
    if (Running && !Lost.m_Later.m_Waiting.empty()) {
      Lost.m_Probed = std::exchange(Lost.m_Later, {});
      sendProbe(Lost.m_Target, 0, After);
    } else {
      // A server that has ended doesn't come back as the same run.
      Waiting.insert(Waiting.end(), Lost.m_Later.m_Waiting.begin(),
                     Lost.m_Later.m_Waiting.end());
      if (!Running) {
        Implicated By = std::move(Lost.m_Probed.m_Implicated);
        By.m_Requests += Lost.m_Later.m_Implicated.m_Requests;
        By.m_Suspects.merge(Lost.m_Later.m_Implicated.m_Suspects);
        recordCrash(Lost.m_Target, Lost.m_Probed.m_At, RuntimeClock::now(),
                    std::move(By), After);
      }
      m_Lost.erase(Found);
    }
  }
  runAll(After);
  for (const auto &Done : Waiting)
    Done(Liveness);
}

void CrashGuard::implicate(Watched &Each, Implicated &By) {
  if (std::exchange(Each.m_IsCounted, true))
    return;
  ++By.m_Requests;
  By.m_Suspects.insert(Each.m_Request.m_Suspects.begin(),
                       Each.m_Request.m_Suspects.end());
}

// Reports the crash together with the requests of this gateway that it
// implicates: those given, whose attempts have ended, and those whose attempts
// still wait for an answer. Some may be counted only after the first report.
void CrashGuard::recordCrash(const BackendTarget &Target, TimePoint At,
                             TimePoint Now, Implicated By, Calls &After) {
  const ServerRun Run = runOf(Target);
  for (auto &[Request, Each] : m_Watched)
    if (Each.m_Target && runOf(*Each.m_Target) == Run && isBeginning(Each, At))
      implicate(Each, By);
  const auto Known = m_Evidence.m_Crashes.find(Run);
  const bool IsNew = Known == m_Evidence.m_Crashes.end();
  if (!IsNew && By.m_Requests == 0)
    return;
  CrashReport Report =
      makeCrashReport(m_Evidence, Target.m_Service, By.m_Requests,
                      {By.m_Suspects.begin(), By.m_Suspects.end()}, Now);
  if (!IsNew) {
    const auto Earlier = Known->second.m_Reports.find(m_Name);
    if (Earlier != Known->second.m_Reports.end()) {
      Report.m_Requests += Earlier->second.m_Requests;
      Report.m_Suspects.insert(Earlier->second.m_Suspects.begin(),
                               Earlier->second.m_Suspects.end());
    }
  } else {
    m_Metrics.m_ServerCrashes.add();
  }
  After.emplace_back([this, Name = Target.m_Name, Requests = By.m_Requests,
                      Text = describe(By.m_Suspects)] {
    m_Events.write(
        Event::BackendServerEnded,
        {{"backend_server", Name}, {"requests", Requests}, {"suspects", Text}});
  });
  m_NewCrashes.insert(Run);
  applyCrash(Run, {Target.m_Service, At, {{m_Name, std::move(Report)}}}, Now,
             After);
  After.emplace_back([this] {
    if (m_OnUpdate)
      m_OnUpdate();
  });
}

void CrashGuard::applyCrash(const ServerRun &Run, const ServerCrash &Crash,
                            TimePoint Now, Calls &After) {
  const CrashMerge Merged = mergeCrash(m_Evidence, Run, Crash, Now);
  for (const auto &[Acquitted, At] : Merged.m_Acquitted)
    addAcquittal(Acquitted, At, After);
  if (Merged.m_Restricted.empty())
    return;
  for (const auto &[Each, State] : Merged.m_Restricted)
    logRestriction(Each, State, Now, After);
  const std::string Group = m_Directory.groupName(Run.m_BackendServer);
  for (const auto &[Key, Each] : m_Watched) {
    const GuardedRequest &Request = Each.m_Request;
    SuspectState State = SuspectState::Free;
    for (const SuspectId &Id : Request.m_Suspects)
      if (const auto Found = Merged.m_Restricted.find({Request.m_Service, Id});
          Found != Merged.m_Restricted.end() && State != SuspectState::Held)
        State = Found->second;
    if (State != SuspectState::Free && !Each.m_IsSound)
      After.emplace_back([Executor = Request.m_Executor,
                          OnRestricted = Request.m_OnRestricted, State, Group] {
        postTask(Executor,
                 [OnRestricted, State, Group] { OnRestricted(State, Group); });
      });
  }
}

void CrashGuard::logRestriction(const Suspect &Of, SuspectState State,
                                TimePoint Now, Calls &After) {
  const Suspicion Against = findSuspicion(m_Evidence, Of).value_or(Suspicion());
  std::vector<std::string> Servers = implicatingServers(m_Evidence, Of);
  Servers.resize(std::min(Servers.size(), MaxServersLogged));
  After.emplace_back([this, Of, State, Against, Servers = std::move(Servers),
                      Left = timeToNextState(m_Evidence, Of, false, Now)] {
    m_Events.write(
        Event::SuspectHeld,
        {{"service", Of.m_Service},
         {"kind", toString(Of.m_Id.m_Kind)},
         {"suspect", Of.m_Id.m_Text},
         {"state", toString(State)},
         {"crashes", Against.m_Crashes},
         {"backend_servers", fmt::format("{}", fmt::join(Servers, ","))},
         {"ratio", Against.m_Ratio},
         {"hold_ms", wholeMilliseconds(Left)}});
  });
}

// --- Other gateways

void CrashGuard::setGateways(std::set<PeerEndpoint> Gateways) {
  const std::lock_guard Lock(m_Mutex);
  m_Gateways = std::move(Gateways);
}

void CrashGuard::addNews(schema::LoadReport &Report) {
  const std::lock_guard Lock(m_Mutex);
  const TimePoint Now = RuntimeClock::now();
  for (const ServerRun &Run : std::exchange(m_NewCrashes, {})) {
    const auto Found = m_Evidence.m_Crashes.find(Run);
    if (Found != m_Evidence.m_Crashes.end())
      addCrash(Report, Run, Found->second, m_Name, Now);
  }
  for (const auto &[Acquitted, At] : std::exchange(m_NewAcquittals, {}))
    mangocart::addAcquittal(Report, Acquitted, At, Now);
}

// Crashes that restrict a suspect are told with the reports of all gateways, as
// some of these may be gone; of crashes that may count later, each gateway
// tells its own report.
void CrashGuard::addAll(schema::LoadReport &Report) {
  const std::lock_guard Lock(m_Mutex);
  const TimePoint Now = RuntimeClock::now();
  const std::set<ServerRun> Holding = crashesThatHold(m_Evidence, Now);
  for (const auto &[Run, Crash] : m_Evidence.m_Crashes) {
    if (Holding.contains(Run))
      for (const auto &[Reporter, Seen] : Crash.m_Reports)
        addCrash(Report, Run, Crash, Reporter, Now);
    else if (isRemembered(m_Evidence, Crash, Now))
      addCrash(Report, Run, Crash, m_Name, Now);
  }
  for (const auto &[Acquitted, At] : m_Evidence.m_Acquittals)
    mangocart::addAcquittal(Report, Acquitted, At, Now);
}

void CrashGuard::merge(const schema::LoadReport &Report) {
  if (Report.crashes_size() == 0 && Report.acquittals_size() == 0)
    return;
  Calls After;
  {
    const std::lock_guard Lock(m_Mutex);
    const TimePoint Now = RuntimeClock::now();
    for (const schema::ServerCrash &Each : Report.crashes())
      if (Each.reporter() != m_Name)
        applyCrash({Each.backend_server(), Each.incarnation()},
                   crashFromSchema(Each, Now), Now, After);
    for (const schema::Acquittal &Each : Report.acquittals())
      if (const auto Acquitted = suspectFromSchema(Each))
        mergeAcquittal(m_Evidence, *Acquitted,
                       Now - milliseconds(Each.ms_ago()), Now);
  }
  runAll(After);
}

} // namespace mangocart
