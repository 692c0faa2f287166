#include "Entry/MembershipDirectory.h"

#include "Core/Hash.h"
#include "Entry/GroupRouting.h"
#include "Events/EventLog.h"
#include "Peer.pb.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace mangocart {

namespace {

BackendTarget toTarget(const Member &Record) {
  return {Record.m_BackendServer,
          Record.m_Service,
          Record.m_AvailabilityZone,
          {Record.m_Address, Record.m_PeerPort},
          Record.m_Incarnation};
}

} // namespace

MembershipDirectory::MembershipDirectory(EventLog &Events,
                                         std::string AvailabilityZone,
                                         std::uint32_t EntryCount,
                                         std::uint64_t Seed)
    : m_Events(Events) {
  m_Routing.m_AvailabilityZone = std::move(AvailabilityZone);
  m_Routing.m_EntryCount = EntryCount;
  m_Routing.m_Random.seed(Seed);
}

void MembershipDirectory::setEntryCount(std::uint32_t Count) {
  const std::lock_guard Lock(m_Mutex);
  m_Routing.m_EntryCount = std::max<std::uint32_t>(Count, 1);
}

void MembershipDirectory::setOtherEntryCalls(const std::string &Entry,
                                             OutstandingCalls Calls) {
  const std::lock_guard Lock(m_Mutex);
  updateOtherEntry(m_Routing, Entry, std::move(Calls));
}

OutstandingCalls MembershipDirectory::ownCalls() const {
  const std::lock_guard Lock(m_Mutex);
  OutstandingCalls Calls;
  for (const auto &[Name, Own] : m_Routing.m_OwnCalls)
    Calls.m_Requests[hash64(Name)] = Own.m_Requests;
  Calls.m_PendingPromptTokens = m_Routing.m_OwnPendingPromptTokens;
  return Calls;
}

void MembershipDirectory::setGateways(GatewayList Gateways, bool HasMajority) {
  const std::lock_guard Lock(m_Mutex);
  updateGateways(m_Routing.m_Cold, Gateways, HasMajority, RuntimeClock::now());
  m_Routing.m_GatewayPosition = positionOf(Gateways.m_Self, Gateways.m_All);
  m_Routing.m_Notices.m_Gateways = std::move(Gateways);
}

void MembershipDirectory::setColdRates(
    std::map<std::string, double, std::less<>> Rates) {
  const std::lock_guard Lock(m_Mutex);
  m_Routing.m_Cold.m_Rates = std::move(Rates);
}

void MembershipDirectory::setColdBurst(double Factor, double Slack) {
  const std::lock_guard Lock(m_Mutex);
  m_Routing.m_Cold.m_Options.m_BurstFactor = Factor;
  m_Routing.m_Cold.m_Options.m_BurstSlack = Slack;
}

std::optional<TimePoint> MembershipDirectory::nextColdPermit() const {
  const std::lock_guard Lock(m_Mutex);
  return mangocart::nextColdPermit(m_Table, m_Routing.m_Cold,
                                   RuntimeClock::now());
}

ColdCounts MembershipDirectory::coldCounts() const {
  const std::lock_guard Lock(m_Mutex);
  return {m_ReportedCold.size(), m_Routing.m_HeldByAllowance};
}

void MembershipDirectory::noteAnswer(const BackendTarget &Target,
                                     const ServerNotice &Notice,
                                     std::optional<TimePoint> SentAt) {
  bool HasLeft = false;
  {
    const std::lock_guard Lock(m_Mutex);
    const TimePoint Now = RuntimeClock::now();
    recordNotice(m_Routing.m_Notices, Target.m_Name, Notice, Now);
    if (SentAt && m_Routing.m_Cold.m_Rates.contains(Target.m_Service))
      recordColdAnswer(m_Routing.m_Cold, Target.m_Name, Notice.m_ColdRemaining,
                       *SentAt, Now);
    HasLeft = Notice.m_IsLeaving && advanceState(Target, MemberState::Leaving);
  }
  if (HasLeft)
    m_Events.write(Event::BackendServerState,
                   {{"backend_server", Target.m_Name},
                    {"state", static_cast<unsigned>(MemberState::Leaving)},
                    {"incarnation", Target.m_Incarnation}});
}

std::map<std::string, LimitSighting> MembershipDirectory::takeLimitNews() {
  const std::lock_guard Lock(m_Mutex);
  std::map<std::string, LimitSighting> News;
  for (const std::string &Server :
       std::exchange(m_Routing.m_Notices.m_News, {})) {
    const auto Found = m_Routing.m_Notices.m_Servers.find(Server);
    if (Found != m_Routing.m_Notices.m_Servers.end())
      News[Server] = Found->second.m_Limit;
  }
  return News;
}

std::map<std::string, LimitSighting> MembershipDirectory::knownLimits() const {
  const std::lock_guard Lock(m_Mutex);
  std::map<std::string, LimitSighting> Limits;
  for (const auto &[Server, Noted] : m_Routing.m_Notices.m_Servers)
    Limits[Server] = Noted.m_Limit;
  return Limits;
}

void MembershipDirectory::heardLimit(const std::string &Server,
                                     const LimitSighting &Seen) {
  const std::lock_guard Lock(m_Mutex);
  mergeLimit(m_Routing.m_Notices, Server, Seen, RuntimeClock::now());
}

void MembershipDirectory::noteGroupBroken(const BackendTarget &Target) {
  const std::lock_guard Lock(m_Mutex);
  mangocart::noteGroupBroken(m_Table, Target.m_Name);
}

std::optional<bool>
MembershipDirectory::hasHeartbeatSince(const BackendTarget &Target,
                                       TimePoint Since) const {
  const std::lock_guard Lock(m_Mutex);
  const TableEntry *Known = find(m_Table, Target.m_Name);
  if (!Known || Known->m_Member.m_Incarnation != Target.m_Incarnation ||
      Known->m_Member.m_State == MemberState::Left)
    return false;
  if (Known->m_LastHeartbeatAt < Since)
    return std::nullopt;
  return true;
}

void MembershipDirectory::markReplaced(const BackendTarget &Target) {
  const std::lock_guard Lock(m_Mutex);
  advanceState(Target, MemberState::Left);
}

bool MembershipDirectory::advanceState(const BackendTarget &Target,
                                       MemberState State) {
  const TableEntry *Known = find(m_Table, Target.m_Name);
  if (!Known || Known->m_Member.m_Incarnation != Target.m_Incarnation)
    return false;
  Member Changed = Known->m_Member;
  Changed.m_State = State;
  return merge(m_Table, Changed, Duration::zero(), RuntimeClock::now()) ==
         MergeResult::StateChanged;
}

std::vector<CandidateView>
MembershipDirectory::usableViews(std::string_view Service) const {
  const TimePoint Now = RuntimeClock::now();
  std::vector<CandidateView> Views = eligibleViews(m_Table, Service, Now);
  std::erase_if(Views, [&](const CandidateView &Each) {
    return isEvacuated(m_Evacuations, Each.m_Member->m_AvailabilityZone) ||
           (!Each.m_Member->m_Group.empty() &&
            isStalled(m_Stalls, Each.m_Member->m_Group, Now));
  });
  return Views;
}

bool MembershipDirectory::isServiceEvacuated(
    std::string_view Service, const std::vector<std::string> &Tried) const {
  if (m_Evacuations.m_Zones.empty())
    return false;
  const TimePoint Now = RuntimeClock::now();
  bool HasEvacuated = false;
  for (const auto &[Name, Entry] : m_Table.m_Entries) {
    const Member &Record = Entry.m_Member;
    if (Record.m_Service != Service ||
        (Record.m_State != MemberState::Serving &&
         Record.m_State != MemberState::Unavailable) ||
        health(m_Table, Entry, Now) == MemberHealth::Lost)
      continue;
    if (isEvacuated(m_Evacuations, Record.m_AvailabilityZone))
      HasEvacuated = true;
    else if (std::find(Tried.begin(), Tried.end(), Name) == Tried.end())
      return false;
  }
  return HasEvacuated;
}

bool MembershipDirectory::setEvacuations(const Evacuations &State) {
  {
    const std::lock_guard Lock(m_Mutex);
    if (State.m_Change <= m_Evacuations.m_Change)
      return false;
    m_Evacuations = State;
  }
  m_Events.write(Event::EvacuationsInForce,
                 {{"change", State.m_Change}, {"zones", zoneList(State)}});
  return true;
}

Evacuations MembershipDirectory::evacuations() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Evacuations;
}

const std::string &
MembershipDirectory::groupOf(const BackendTarget &Target) const {
  static const std::string None;
  const TableEntry *Known = find(m_Table, Target.m_Name);
  return Known ? Known->m_Member.m_Group : None;
}

std::vector<CandidateView>
MembershipDirectory::candidates(const ChoiceRequest &Request) const {
  std::vector<CandidateView> Candidates = usableViews(Request.m_Service);
  std::erase_if(Candidates, [&](const CandidateView &Each) {
    const std::string &Name = Each.m_Member->m_BackendServer;
    return Request.m_Tried &&
           std::find(Request.m_Tried->begin(), Request.m_Tried->end(), Name) !=
               Request.m_Tried->end();
  });
  return Candidates;
}

std::optional<BackendTarget>
MembershipDirectory::choose(const ChoiceRequest &Request) {
  const std::lock_guard Lock(m_Mutex);
  const std::vector<CandidateView> Candidates = candidates(Request);
  const TimePoint Now = RuntimeClock::now();
  std::vector<GroupLoad> Groups;
  if (Request.m_PassRules)
    Groups = groupLoads(m_Table, m_Routing, Request, Now);
  const auto Chosen =
      chooseCandidate(m_Routing, Candidates, Request, Now, Groups);
  if (!Chosen)
    return std::nullopt;
  return toTarget(*Candidates[*Chosen].m_Member);
}

bool MembershipDirectory::hasCandidates(const ChoiceRequest &Request) const {
  const std::lock_guard Lock(m_Mutex);
  return !candidates(Request).empty();
}

std::optional<std::size_t>
MembershipDirectory::slots(const ChoiceRequest &Request) {
  const std::lock_guard Lock(m_Mutex);
  const std::vector<CandidateView> Candidates = candidates(Request);
  if (Candidates.empty())
    return std::nullopt;
  return countSlots(m_Routing, Candidates, Request, RuntimeClock::now());
}

FreeCapacity MembershipDirectory::freeCapacity(const ChoiceRequest &Request) {
  const std::lock_guard Lock(m_Mutex);
  const TimePoint Now = RuntimeClock::now();
  std::vector<GroupLoad> Groups;
  if (Request.m_PassRules)
    Groups = groupLoads(m_Table, m_Routing, Request, Now);
  return mangocart::freeCapacity(m_Routing, candidates(Request), Request, Now,
                                 Groups);
}

void MembershipDirectory::callStarted(const BackendTarget &Target,
                                      const CallSize &Size) {
  const std::lock_guard Lock(m_Mutex);
  const TimePoint Now = RuntimeClock::now();
  recordCallStarted(m_Routing, Target, Size, Now);
  recordGroupStart(m_Routing.m_GroupCapacity, groupOf(Target), Now);
}

void MembershipDirectory::callProgressed(const BackendTarget &Target) {
  const std::lock_guard Lock(m_Mutex);
  const TimePoint Now = RuntimeClock::now();
  recordCallProgress(m_Routing, Target, Now);
  recordStreamData(m_Stalls, groupOf(Target), Now);
}

void MembershipDirectory::streamBegan(const BackendTarget &Target) {
  const std::lock_guard Lock(m_Mutex);
  if (const std::string &Group = groupOf(Target); !Group.empty())
    recordStreamBegin(m_Stalls, Group, Target.m_Name, RuntimeClock::now());
}

void MembershipDirectory::streamEnded(const BackendTarget &Target) {
  const std::lock_guard Lock(m_Mutex);
  recordStreamEnd(m_Stalls, Target.m_Name);
}

void MembershipDirectory::answerBegan(const BackendTarget &Target,
                                      const CallSize &Size) {
  const std::lock_guard Lock(m_Mutex);
  recordAnswerBegan(m_Routing, Target, Size);
}

std::uint64_t MembershipDirectory::ownPendingPromptTokens() const {
  const std::lock_guard Lock(m_Mutex);
  std::uint64_t Sum = 0;
  for (const auto &[Server, Tokens] : m_Routing.m_OwnPendingPromptTokens)
    Sum += Tokens;
  return Sum;
}

void MembershipDirectory::gapObserved(const BackendTarget &Target,
                                      Duration Gap) {
  const std::lock_guard Lock(m_Mutex);
  const TimePoint Now = RuntimeClock::now();
  const std::string &Group = groupOf(Target);
  recordGap(
      m_Routing.m_GroupCapacity, Group, Gap,
      [&] { return groupRequests(m_Table, m_Routing, Group, Now); }, Now);
}

void MembershipDirectory::callEnded(const BackendTarget &Target,
                                    const CallSize &Size,
                                    const CallReport &Report) {
  const TimePoint Now = RuntimeClock::now();
  const std::lock_guard Lock(m_Mutex);
  recordCallEnded(m_Routing, Target, Size, Report, Now);
  recordGroupEnd(m_Routing.m_GroupCapacity, groupOf(Target), Now);
  if (Report.m_Result == CallResult::Broken)
    noteCallFailed(m_Table, Target.m_Name, Target.m_Incarnation, Now);
  else if (Report.m_Result == CallResult::Answered)
    noteCallSucceeded(m_Table, Target.m_Name, Target.m_Incarnation);
}

void MembershipDirectory::recordFirstAttempt(std::string_view Service) {
  const std::lock_guard Lock(m_Mutex);
  creditFirstAttempt(routingOf(m_Routing, Service).m_Retries, {});
}

RetryDecision MembershipDirectory::requestRetry(std::string_view Service,
                                                const FailedAttempt &Failed) {
  const std::lock_guard Lock(m_Mutex);
  return decideRetry(routingOf(m_Routing, Service).m_Retries, Failed, {},
                     RuntimeClock::now(), m_Routing.m_Random);
}

std::uint64_t
MembershipDirectory::announced(const schema::Announcement &Message) {
  const TimePoint Now = RuntimeClock::now();
  mergeRecord(memberFromSchema(Message, Duration::zero(), Now),
              Duration::zero());
  const std::lock_guard Lock(m_Mutex);
  const TableEntry *Known = find(m_Table, Message.backend_server());
  return Known ? Known->m_Member.m_Incarnation : 0;
}

void MembershipDirectory::heard(const schema::MemberRecord &Record) {
  const Duration HeardAgo = std::chrono::milliseconds(Record.heard_ms_ago());
  mergeRecord(
      memberFromSchema(Record.announcement(), HeardAgo, RuntimeClock::now()),
      HeardAgo);
}

std::optional<MemberDelta>
MembershipDirectory::departure(std::string_view BackendServer) const {
  const std::lock_guard Lock(m_Mutex);
  const TableEntry *Known = find(m_Table, BackendServer);
  if (!Known || !hasDeparted(Known->m_Member.m_State))
    return std::nullopt;
  return MemberDelta{Known->m_Member,
                     heartbeatAge(*Known, RuntimeClock::now())};
}

std::uint64_t
MembershipDirectory::changeNumber(std::string_view BackendServer) const {
  const std::lock_guard Lock(m_Mutex);
  const TableEntry *Known = find(m_Table, BackendServer);
  return Known ? Known->m_ChangeNumber : 0;
}

void MembershipDirectory::mergeRecord(const Member &Record, Duration HeardAgo) {
  MergeResult Result;
  {
    const std::lock_guard Lock(m_Mutex);
    const TimePoint Now = RuntimeClock::now();
    Result = merge(m_Table, Record, HeardAgo, Now);
    if (Result == MergeResult::Joined)
      markReplacedAsLeft(m_Table, Record.m_BackendServer, Now);
  }
  if (m_OnMemberChange &&
      (Result == MergeResult::Joined || Result == MergeResult::StateChanged))
    m_OnMemberChange();
  if (Result == MergeResult::Joined)
    m_Events.write(Event::BackendServerJoined,
                   {{"backend_server", Record.m_BackendServer},
                    {"service", Record.m_Service},
                    {"incarnation", Record.m_Incarnation}});
  else if (Result == MergeResult::StateChanged)
    m_Events.write(Event::BackendServerState,
                   {{"backend_server", Record.m_BackendServer},
                    {"state", static_cast<unsigned>(Record.m_State)},
                    {"incarnation", Record.m_Incarnation},
                    {"group_epoch", Record.m_GroupEpoch},
                    {"group_broken", Record.m_GroupBroken}});
}

DeltaBatch MembershipDirectory::differences(std::uint64_t Since,
                                            std::size_t MaxRecords) {
  const std::lock_guard Lock(m_Mutex);
  return deltasSince(m_Table, Since, MaxRecords, RuntimeClock::now());
}

void MembershipDirectory::sweepMembers() {
  std::vector<HealthChange> Changes;
  std::vector<ServiceEjectionChange> Ejections;
  std::vector<ColdChange> Cold;
  std::vector<GroupLimitChange> Limits;
  {
    const std::lock_guard Lock(m_Mutex);
    removeExpired(m_Routing.m_Cold, RuntimeClock::now());
    Cold = coldChanges(m_Table, m_Routing.m_Cold, m_ReportedCold,
                       RuntimeClock::now());
    Changes = sweep(m_Table, RuntimeClock::now());
    removeExpired(m_Routing.m_Notices, RuntimeClock::now());
    Ejections = updateAllEjections(m_Routing, RuntimeClock::now());
    Limits = updateGroupLimits(m_Routing.m_GroupCapacity, RuntimeClock::now());
  }
  for (const ColdChange &Change : Cold)
    m_Events.write(Change.m_IsCold ? Event::BackendServerCold
                                   : Event::BackendServerNoLongerCold,
                   {{"backend_server", Change.m_BackendServer},
                    {"own_permits", Change.m_OwnPermits},
                    {"all_permits", Change.m_AllPermits}});
  for (const GroupLimitChange &Each : Limits)
    m_Events.write(Each.m_IsLimited ? Event::GroupLimited
                                    : Event::GroupUnlimited,
                   {{"group", Each.m_Group},
                    {"limit", Each.m_Limit},
                    {"slots", Each.m_Slots},
                    {"expected_ms", std::lround(Each.m_ExpectedMs)},
                    {"target_ms", std::lround(Each.m_TargetMs)}});
  for (const ServiceEjectionChange &Report : Ejections)
    m_Events.write(Event::BackendServerEjected,
                   {{"service", Report.m_Service},
                    {"server_hash", Report.m_Change.m_BackendServer},
                    {"cause", toString(Report.m_Change.m_Cause)}});
  for (const HealthChange &Change : Changes)
    m_Events.write(Event::BackendServerHealth,
                   {{"backend_server", Change.m_BackendServer},
                    {"from", toString(Change.m_From)},
                    {"to", toString(Change.m_To)}});
}

std::map<std::string, GroupPasses, std::less<>>
MembershipDirectory::groupPasses() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Routing.m_GroupCapacity.m_Groups;
}

std::vector<MemberView> MembershipDirectory::members() const {
  const TimePoint Now = RuntimeClock::now();
  const std::lock_guard Lock(m_Mutex);
  std::vector<MemberView> Views;
  for (const auto &[Name, Entry] : m_Table.m_Entries) {
    Views.push_back({Entry.m_Member, health(m_Table, Entry, Now),
                     ownRequests(m_Routing, Name)});
  }
  return Views;
}

ServiceAvailability
MembershipDirectory::availability(std::string_view Service,
                                  const std::vector<std::string> &Tried) const {
  const TimePoint Now = RuntimeClock::now();
  const std::lock_guard Lock(m_Mutex);
  ServiceAvailability Found;
  std::optional<TimePoint> FirstEnd;
  ChoiceRequest Untried;
  Untried.m_Service = Service;
  Untried.m_Tried = &Tried;
  const std::vector<CandidateView> Candidates = candidates(Untried);
  const std::vector<ColdQuery> Queries =
      coldQueries(m_Routing, Candidates, Now);
  for (std::size_t I = 0; I < Candidates.size(); ++I) {
    std::optional<TimePoint> Until = pausedUntil(
        m_Routing.m_Notices, Candidates[I].m_Member->m_BackendServer, Now);
    if (!Until && !Queries.empty() &&
        !hasPart(m_Routing.m_Cold, Queries[I], Now)) {
      // Only other gateways send to this server, unless this one is new.
      Until = withoutPartUntil(m_Routing.m_Cold, Now);
      if (!Until)
        continue;
    }
    if (!Until)
      ++Found.m_Servers;
    else if (!FirstEnd || *Until < *FirstEnd)
      FirstEnd = Until;
  }
  if (Found.m_Servers == 0) {
    Found.m_ResumesAt = FirstEnd;
    Found.m_IsEvacuated = !FirstEnd && isServiceEvacuated(Service, Tried);
  }
  return Found;
}

std::size_t
MembershipDirectory::independentUnits(std::string_view Service) const {
  const std::lock_guard Lock(m_Mutex);
  std::size_t Single = 0;
  std::set<std::string_view> Groups;
  for (const CandidateView &Each : usableViews(Service)) {
    if (Each.m_Member->m_Group.empty())
      ++Single;
    else
      Groups.insert(Each.m_Member->m_Group);
  }
  return Single + Groups.size();
}

std::string
MembershipDirectory::groupName(std::string_view BackendServer) const {
  const std::lock_guard Lock(m_Mutex);
  const TableEntry *Known = find(m_Table, BackendServer);
  return Known ? Known->m_Member.m_Group : std::string();
}

std::optional<BackendTarget>
MembershipDirectory::locate(std::string_view BackendServer) const {
  const std::lock_guard Lock(m_Mutex);
  const TableEntry *Known = find(m_Table, BackendServer);
  if (!Known)
    return std::nullopt;
  return toTarget(Known->m_Member);
}

} // namespace mangocart
