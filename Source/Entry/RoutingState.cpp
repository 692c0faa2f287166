// Connects the membership table with the routing decisions.
#include "Entry/RoutingState.h"

#include "Core/Hash.h"
#include "Entry/GroupRouting.h"

#include <algorithm>
#include <unordered_map>

namespace mangocart {

namespace {

// Weight of a new request in the moving average of tokens.
constexpr double MeanTokensWeight = 0.05;

const CacheHintOptions HintOptions;
const OutlierDetectorOptions EjectOptions;
const ReplicaChoiceOptions ChoiceDefaults;

std::uint32_t zoneNumber(std::string_view AvailabilityZone) {
  return static_cast<std::uint32_t>(hash64(AvailabilityZone));
}

// An entry that is silent for longer is considered to have failed, and its
// calls with it.
constexpr Duration OtherEntryTimeout = std::chrono::seconds(2);

void subtractRequests(RoutingState &State, const OutstandingCalls &Calls) {
  for (const auto &[Server, Requests] : Calls.m_Requests) {
    const auto Found = State.m_OtherRequests.find(Server);
    if (Found != State.m_OtherRequests.end() &&
        (Found->second -= std::min(Found->second, Requests)) == 0)
      State.m_OtherRequests.erase(Found);
  }
}

bool isAllowed(const RoutingState &State, const ColdQuery &Query,
               TimePoint Now) {
  const auto Next = nextAllowed(State.m_Cold, Query, Now);
  return Next && *Next <= Now;
}

bool isHeldByAllowance(const RoutingState &State,
                       std::span<const CandidateView> Candidates,
                       TimePoint Now) {
  const std::vector<ColdQuery> Queries = coldQueries(State, Candidates, Now);
  return std::any_of(
      Queries.begin(), Queries.end(),
      [&](const ColdQuery &Each) { return !isAllowed(State, Each, Now); });
}

// Adds up the pending prompt tokens of this entry and of the others that have
// reported recently. Each report holds only the few servers with any, so this
// is cheaper than looking up each server in each report.
std::unordered_map<std::uint64_t, std::uint64_t>
allPendingPromptTokens(const RoutingState &State, TimePoint Now) {
  std::unordered_map<std::uint64_t, std::uint64_t> Sums;
  const auto Add = [&Sums](const PromptTokensByServer &Pending) {
    for (const auto &[Server, Tokens] : Pending)
      Sums[Server] += Tokens;
  };
  Add(State.m_OwnPendingPromptTokens);
  for (const auto &[Entry, Calls] : State.m_OtherEntries)
    if (Now - Calls.m_Heard <= OtherEntryTimeout)
      Add(Calls.m_PendingPromptTokens);
  return Sums;
}

void addPendingPromptTokens(std::vector<ReplicaCandidate> &Replicas,
                            const RoutingState &State, TimePoint Now) {
  const auto Sums = allPendingPromptTokens(State, Now);
  for (ReplicaCandidate &Each : Replicas)
    if (const auto Found = Sums.find(Each.m_BackendServer); Found != Sums.end())
      Each.m_PendingPromptTokens = Found->second;
}

ReplicaCandidate toReplica(RoutingState &State, ServiceRouting &Routing,
                           const CandidateView &From,
                           const ChoiceRequest &Request, std::uint32_t Limit,
                           TimePoint Now) {
  ReplicaCandidate Replica;
  Replica.m_BackendServer = hash64(From.m_Member->m_BackendServer);
  Replica.m_AvailabilityZone = zoneNumber(From.m_Member->m_AvailabilityZone);
  const auto Own = State.m_OwnCalls.find(From.m_Member->m_BackendServer);
  if (Own != State.m_OwnCalls.end()) {
    Replica.m_OutstandingRequests = Own->second.m_Requests;
    Replica.m_OutstandingTokens = Own->second.m_Tokens;
  }
  Replica.m_ReportedRequests = From.m_Member->m_ReportedLoad;
  Replica.m_ReportedTokens =
      From.m_Member->m_ReportedLoad * Routing.m_MeanTokens;
  Replica.m_ReportAge = Now - From.m_Member->m_LoadMeasuredAt;
  Replica.m_OtherEntriesRequests =
      otherEntriesRequests(State, Replica.m_BackendServer);
  if (Request.m_Size.m_PrefixHash != 0)
    Replica.m_CachedTokens = expectedCachedTokens(
        State.m_Hints, {Replica.m_BackendServer, Request.m_Size.m_PrefixHash},
        Now, HintOptions);
  Replica.m_TrafficShare = trafficShare(
      Routing.m_OutlierDetector, Replica.m_BackendServer, EjectOptions, Now);
  Replica.m_Full =
      isFull(Replica, Limit, State.m_EntryCount) ||
      !mayReceive(State.m_Notices, From.m_Member->m_BackendServer, Now);
  Replica.m_Suspect = From.m_Avoided;
  Replica.m_Ejected =
      isEjected(Routing.m_OutlierDetector, Replica.m_BackendServer, Now);
  return Replica;
}

std::uint32_t limitFor(RoutingState &State, const ChoiceRequest &Request,
                       TimePoint Now) {
  return currentLimit(routingOf(State, Request.m_Service).m_ConcurrencyLimit,
                      Request.m_MaxOutstanding, Request.m_OtherQueuedRequests,
                      {}, Now);
}

std::vector<ReplicaCandidate>
toReplicas(RoutingState &State, std::span<const CandidateView> Candidates,
           const ChoiceRequest &Request, TimePoint Now) {
  ServiceRouting &Routing = routingOf(State, Request.m_Service);
  const std::uint32_t Limit = limitFor(State, Request, Now);
  removeSilentEntries(State, Now);
  std::vector<ReplicaCandidate> Replicas;
  Replicas.reserve(Candidates.size());
  for (const CandidateView &Each : Candidates)
    Replicas.push_back(toReplica(State, Routing, Each, Request, Limit, Now));
  const std::vector<ColdQuery> Queries = coldQueries(State, Candidates, Now);
  for (std::size_t I = 0; I < Queries.size(); ++I)
    Replicas[I].m_Full =
        Replicas[I].m_Full || !isAllowed(State, Queries[I], Now);
  return Replicas;
}

RoutedRequest toRouted(const RoutingState &State,
                       const ChoiceRequest &Request) {
  RoutedRequest Routed;
  Routed.m_PrefixHash = Request.m_Size.m_PrefixHash;
  Routed.m_PrefixTokens = Request.m_Size.m_PromptTokens;
  Routed.m_EstimatedTokens = Request.m_Size.m_Tokens;
  Routed.m_AvailabilityZone = zoneNumber(State.m_AvailabilityZone);
  if (!Request.m_FailedZone.empty())
    Routed.m_AvoidZone = zoneNumber(Request.m_FailedZone);
  return Routed;
}

} // namespace

std::vector<ColdQuery> coldQueries(const RoutingState &State,
                                   std::span<const CandidateView> Candidates,
                                   TimePoint Now) {
  std::vector<ColdQuery> Queries;
  if (State.m_Cold.m_Rates.empty())
    return Queries;
  for (const CandidateView &Each : Candidates)
    Queries.push_back({Each.m_Member->m_BackendServer, Each.m_Member->m_Service,
                       Each.m_Member->m_ColdUntil});
  allowReserve(State.m_Cold, Queries, Now);
  return Queries;
}

ServiceRouting &routingOf(RoutingState &State, std::string_view Service) {
  const auto Found = State.m_Services.find(Service);
  if (Found != State.m_Services.end())
    return Found->second;
  return State.m_Services[std::string(Service)];
}

std::uint32_t ownRequests(const RoutingState &State,
                          std::string_view BackendServer) {
  const auto Found = State.m_OwnCalls.find(BackendServer);
  return Found == State.m_OwnCalls.end() ? 0 : Found->second.m_Requests;
}

void updateOtherEntry(RoutingState &State, const std::string &Entry,
                      OutstandingCalls Calls) {
  OutstandingCalls &Known = State.m_OtherEntries[Entry];
  subtractRequests(State, Known);
  Known = std::move(Calls);
  for (const auto &[Server, Requests] : Known.m_Requests)
    State.m_OtherRequests[Server] += Requests;
}

void removeSilentEntries(RoutingState &State, TimePoint Now) {
  std::erase_if(State.m_OtherEntries, [&](const auto &Each) {
    const bool IsSilent = Now - Each.second.m_Heard > OtherEntryTimeout;
    if (IsSilent)
      subtractRequests(State, Each.second);
    return IsSilent;
  });
}

std::optional<std::uint32_t> otherEntriesRequests(const RoutingState &State,
                                                  std::uint64_t Server) {
  if (State.m_OtherEntries.empty())
    return std::nullopt;
  const auto Found = State.m_OtherRequests.find(Server);
  return Found == State.m_OtherRequests.end() ? 0 : Found->second;
}

std::optional<std::size_t>
chooseCandidate(RoutingState &State, std::span<const CandidateView> Candidates,
                const ChoiceRequest &Request, TimePoint Now,
                std::span<const GroupLoad> Groups) {
  std::vector<ReplicaCandidate> Replicas =
      toReplicas(State, Candidates, Request, Now);
  keepPreferredGroups(State, Request, Groups, Candidates, Replicas, Now);
  if (Request.m_PrefillTokensPerPass > 0)
    addPendingPromptTokens(Replicas, State, Now);
  ReplicaChoiceOptions Options = ChoiceDefaults;
  Options.m_Policy =
      parseRoutingPolicy(Request.m_Policy).value_or(RoutingPolicy::Score);
  Options.m_PrefillTokensPerPass = Request.m_PrefillTokensPerPass;
  if (Request.m_PrefillTokensPerPass > 0)
    Options.m_Gateway = State.m_GatewayPosition;
  const auto Chosen = chooseReplica(
      Replicas, toRouted(State, Request), Options,
      routingOf(State, Request.m_Service).m_Choice, State.m_Random);
  if (!Chosen && isHeldByAllowance(State, Candidates, Now))
    ++State.m_HeldByAllowance;
  return Chosen;
}

std::size_t countSlots(RoutingState &State,
                       std::span<const CandidateView> Candidates,
                       const ChoiceRequest &Request, TimePoint Now) {
  const std::uint32_t Limit = limitFor(State, Request, Now);
  const std::uint32_t EntryPart =
      (Limit + State.m_EntryCount - 1) / State.m_EntryCount;
  std::size_t Slots = 0;
  for (const ReplicaCandidate &Each :
       toReplicas(State, Candidates, Request, Now)) {
    const std::uint32_t Own = Each.m_OutstandingRequests;
    Slots += Own;
    if (!Each.m_Full && !Each.m_Ejected && !Each.m_Suspect)
      Slots += EntryPart > Own ? EntryPart - Own : 1;
  }
  return Slots;
}

FreeCapacity freeCapacity(RoutingState &State,
                          std::span<const CandidateView> Candidates,
                          const ChoiceRequest &Request, TimePoint Now,
                          std::span<const GroupLoad> Groups) {
  const std::uint32_t Limit = limitFor(State, Request, Now);
  std::map<std::string_view, std::size_t> FreeByGroup;
  const std::vector<ReplicaCandidate> Replicas =
      toReplicas(State, Candidates, Request, Now);
  for (std::size_t I = 0; I < Replicas.size(); ++I) {
    const ReplicaCandidate &Each = Replicas[I];
    if (Each.m_Full || Each.m_Ejected || Each.m_Suspect)
      continue;
    // Without recent reports of the other entries, the entry's own part counts.
    const std::uint32_t Own = Each.m_OutstandingRequests;
    const std::uint32_t Bound =
        Each.m_OtherEntriesRequests
            ? Limit - std::min(Limit, *Each.m_OtherEntriesRequests)
            : (Limit + State.m_EntryCount - 1) / State.m_EntryCount;
    FreeByGroup[Candidates[I].m_Member->m_Group] +=
        Bound > Own ? Bound - Own : 1;
  }
  for (const GroupLoad &Each : Groups)
    if (const auto Found = FreeByGroup.find(Each.m_Group);
        Found != FreeByGroup.end())
      Found->second =
          std::min(Found->second, freeRequests(State.m_GroupCapacity, Each));
  FreeCapacity Free{0, State.m_EntryCount};
  for (const auto &[Group, Requests] : FreeByGroup)
    Free.m_Requests += Requests;
  return Free;
}

void recordCallStarted(RoutingState &State, const BackendTarget &Target,
                       const CallSize &Size, TimePoint Now) {
  OwnCalls &Own = State.m_OwnCalls[Target.m_Name];
  ++Own.m_Requests;
  Own.m_Tokens += Size.m_Tokens;
  addPromptTokens(State.m_OwnPendingPromptTokens, hash64(Target.m_Name),
                  Size.m_PromptTokens);
  recordSent(State.m_Notices, Target.m_Name, Now);
  recordColdSent(State.m_Cold, Target.m_Name, Target.m_Service, Now);
  ServiceRouting &Routing = routingOf(State, Target.m_Service);
  Routing.m_MeanTokens +=
      MeanTokensWeight *
      (static_cast<double>(Size.m_Tokens) - Routing.m_MeanTokens);
  if (Size.m_ReportsProgress)
    recordStart(Routing.m_OutlierDetector, hash64(Target.m_Name), Now);
}

void recordAnswerBegan(RoutingState &State, const BackendTarget &Target,
                       const CallSize &Size) {
  removePromptTokens(State.m_OwnPendingPromptTokens, hash64(Target.m_Name),
                     Size.m_PromptTokens);
}

void recordCallProgress(RoutingState &State, const BackendTarget &Target,
                        TimePoint Now) {
  recordProgress(routingOf(State, Target.m_Service).m_OutlierDetector,
                 hash64(Target.m_Name), Now);
}

void recordCallEnded(RoutingState &State, const BackendTarget &Target,
                     const CallSize &Size, const CallReport &Report,
                     TimePoint Now) {
  if (!Report.m_HasBegun)
    recordAnswerBegan(State, Target, Size);
  const auto Own = State.m_OwnCalls.find(Target.m_Name);
  if (Own != State.m_OwnCalls.end()) {
    Own->second.m_Tokens -= std::min(Own->second.m_Tokens, Size.m_Tokens);
    if (--Own->second.m_Requests == 0) {
      State.m_OwnCalls.erase(Own);
      // Counts that were capped would otherwise keep a rest.
      State.m_OwnPendingPromptTokens.erase(hash64(Target.m_Name));
    }
  }
  const std::uint64_t Server = hash64(Target.m_Name);
  const bool Answered = Report.m_Result == CallResult::Answered;
  ServiceRouting &Routing = routingOf(State, Target.m_Service);
  const bool Failed = Report.m_Result == CallResult::Broken ||
                      Report.m_Result == CallResult::Failed;
  recordEnd(Routing.m_OutlierDetector, Server, Failed, Report.m_Time,
            Answered ? std::max<std::uint64_t>(1, Size.m_Tokens) : 0,
            EjectOptions, Now);
  if (Answered && Size.m_PrefixHash != 0)
    applyCacheEvent(State.m_Hints,
                    {Server, 0, Size.m_PrefixHash, Size.m_PromptTokens}, Now,
                    HintOptions);
}

std::vector<ServiceEjectionChange> updateAllEjections(RoutingState &State,
                                                      TimePoint Now) {
  std::vector<ServiceEjectionChange> Reports;
  for (auto &[Service, Routing] : State.m_Services)
    for (const EjectionChange &Change :
         updateEjections(Routing.m_OutlierDetector, EjectOptions, Now))
      Reports.push_back({Service, Change});
  return Reports;
}

} // namespace mangocart
