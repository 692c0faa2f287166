// Glue between the membership's candidates and the routing decisions.
#include "Entry/RoutingState.h"

#include "Core/Hash.h"

#include <algorithm>

namespace mangocart {

namespace {

// Weight of a new request in the running mean of tokens.
constexpr double MeanTokensWeight = 0.05;

const CacheHintOptions HintOptions;
const OutlierDetectorOptions EjectOptions;
const ReplicaChoiceOptions ChoiceDefaults;

std::uint32_t zoneNumber(std::string_view AvailabilityZone) {
  return static_cast<std::uint32_t>(hash64(AvailabilityZone));
}

// An entry that is silent for longer is gone, and its requests with it.
constexpr Duration OthersWorkLifetime = std::chrono::seconds(2);

// What other entries have at the server; nothing if none has told.
std::optional<std::uint32_t>
othersRequests(const RoutingTable &Table, std::uint64_t Server, TimePoint Now) {
  std::optional<std::uint32_t> Sum;
  for (const auto &[Entry, Work] : Table.m_Others) {
    if (Now - Work.m_Heard > OthersWorkLifetime)
      continue;
    const auto Found = Work.m_Requests.find(Server);
    Sum =
        Sum.value_or(0) + (Found == Work.m_Requests.end() ? 0 : Found->second);
  }
  return Sum;
}

ReplicaCandidate toReplica(RoutingTable &Table, ServiceRouting &Routing,
                           const CandidateView &From,
                           const ChoiceRequest &Request, std::uint32_t Bound,
                           TimePoint Now) {
  ReplicaCandidate Replica;
  Replica.m_BackendServer = hash64(From.m_Member->m_BackendServer);
  Replica.m_AvailabilityZone = zoneNumber(From.m_Member->m_AvailabilityZone);
  const auto Own = Table.m_Own.find(From.m_Member->m_BackendServer);
  if (Own != Table.m_Own.end()) {
    Replica.m_OutstandingRequests = Own->second.m_Requests;
    Replica.m_OutstandingTokens = Own->second.m_Tokens;
  }
  Replica.m_ReportedRequests = From.m_Member->m_ReportedLoad;
  Replica.m_ReportedTokens =
      From.m_Member->m_ReportedLoad * Routing.m_MeanTokens;
  Replica.m_ReportAge = Now - From.m_Member->m_LoadMeasuredAt;
  Replica.m_OtherEntriesRequests =
      othersRequests(Table, Replica.m_BackendServer, Now);
  if (Request.m_Size.m_PrefixHash != 0)
    Replica.m_CachedTokens = expectedCachedTokens(
        Table.m_Hints, {Replica.m_BackendServer, Request.m_Size.m_PrefixHash},
        Now, HintOptions);
  Replica.m_TrafficShare = trafficShare(
      Routing.m_OutlierDetector, Replica.m_BackendServer, EjectOptions, Now);
  Replica.m_Full = isFull(Replica, Bound, Table.m_EntryCount);
  Replica.m_Suspect = From.m_Avoided;
  Replica.m_Ejected =
      isEjected(Routing.m_OutlierDetector, Replica.m_BackendServer, Now);
  return Replica;
}

std::uint32_t boundFor(RoutingTable &Table, const ChoiceRequest &Request,
                       TimePoint Now) {
  return currentLimit(routingOf(Table, Request.m_Service).m_ConcurrencyLimit,
                      Request.m_MaxOutstanding, Request.m_OthersWaiting, {},
                      Now);
}

std::vector<ReplicaCandidate>
toReplicas(RoutingTable &Table, std::span<const CandidateView> Candidates,
           const ChoiceRequest &Request, TimePoint Now) {
  ServiceRouting &Routing = routingOf(Table, Request.m_Service);
  const std::uint32_t Bound = boundFor(Table, Request, Now);
  std::vector<ReplicaCandidate> Replicas;
  Replicas.reserve(Candidates.size());
  for (const CandidateView &Each : Candidates)
    Replicas.push_back(toReplica(Table, Routing, Each, Request, Bound, Now));
  return Replicas;
}

RoutedRequest toRouted(const RoutingTable &Table,
                       const ChoiceRequest &Request) {
  RoutedRequest Routed;
  Routed.m_PrefixHash = Request.m_Size.m_PrefixHash;
  Routed.m_PrefixTokens = Request.m_Size.m_PromptTokens;
  Routed.m_EstimatedTokens = Request.m_Size.m_Tokens;
  Routed.m_AvailabilityZone = zoneNumber(Table.m_AvailabilityZone);
  if (!Request.m_FailedZone.empty())
    Routed.m_AvoidZone = zoneNumber(Request.m_FailedZone);
  return Routed;
}

} // namespace

ServiceRouting &routingOf(RoutingTable &Table, std::string_view Service) {
  const auto Found = Table.m_Services.find(Service);
  if (Found != Table.m_Services.end())
    return Found->second;
  return Table.m_Services[std::string(Service)];
}

std::uint32_t ownRequests(const RoutingTable &Table,
                          std::string_view BackendServer) {
  const auto Found = Table.m_Own.find(BackendServer);
  return Found == Table.m_Own.end() ? 0 : Found->second.m_Requests;
}

void noteOthersWork(RoutingTable &Table, const std::string &Entry,
                    OthersWork Work) {
  Table.m_Others[Entry] = std::move(Work);
}

std::optional<std::size_t>
chooseCandidate(RoutingTable &Table, std::span<const CandidateView> Candidates,
                const ChoiceRequest &Request, TimePoint Now) {
  const std::vector<ReplicaCandidate> Replicas =
      toReplicas(Table, Candidates, Request, Now);
  ReplicaChoiceOptions Options = ChoiceDefaults;
  Options.m_Policy =
      parseRoutingPolicy(Request.m_Policy).value_or(RoutingPolicy::Score);
  return chooseReplica(Replicas, toRouted(Table, Request), Options,
                       routingOf(Table, Request.m_Service).m_Choice,
                       Table.m_Random);
}

std::size_t countPlaces(RoutingTable &Table,
                        std::span<const CandidateView> Candidates,
                        const ChoiceRequest &Request, TimePoint Now) {
  const std::uint32_t Bound = boundFor(Table, Request, Now);
  const std::uint32_t Part =
      (Bound + Table.m_EntryCount - 1) / Table.m_EntryCount;
  std::size_t Places = 0;
  for (const ReplicaCandidate &Each :
       toReplicas(Table, Candidates, Request, Now)) {
    const std::uint32_t Own = Each.m_OutstandingRequests;
    Places += Own;
    if (!Each.m_Full && !Each.m_Ejected && !Each.m_Suspect)
      Places += Part > Own ? Part - Own : 1;
  }
  return Places;
}

void noteCallStarted(RoutingTable &Table, const BackendTarget &Target,
                     const CallSize &Size, TimePoint Now) {
  OwnWork &Own = Table.m_Own[Target.m_Name];
  ++Own.m_Requests;
  Own.m_Tokens += Size.m_Tokens;
  ServiceRouting &Routing = routingOf(Table, Target.m_Service);
  Routing.m_MeanTokens +=
      MeanTokensWeight *
      (static_cast<double>(Size.m_Tokens) - Routing.m_MeanTokens);
  if (Size.m_ShowsProgress)
    recordStart(Routing.m_OutlierDetector, hash64(Target.m_Name), Now);
}

void noteCallProgress(RoutingTable &Table, const BackendTarget &Target,
                      TimePoint Now) {
  recordProgress(routingOf(Table, Target.m_Service).m_OutlierDetector,
                 hash64(Target.m_Name), Now);
}

void noteCallEnded(RoutingTable &Table, const BackendTarget &Target,
                   const CallSize &Size, const CallReport &Report,
                   TimePoint Now) {
  const auto Own = Table.m_Own.find(Target.m_Name);
  if (Own != Table.m_Own.end()) {
    Own->second.m_Tokens -= std::min(Own->second.m_Tokens, Size.m_Tokens);
    if (--Own->second.m_Requests == 0)
      Table.m_Own.erase(Own);
  }
  const std::uint64_t Server = hash64(Target.m_Name);
  const bool Answered = Report.m_Result == CallResult::Answered;
  ServiceRouting &Routing = routingOf(Table, Target.m_Service);
  const bool Failed = Report.m_Result == CallResult::Broken ||
                      Report.m_Result == CallResult::Failed;
  recordEnd(Routing.m_OutlierDetector, Server, Failed, Report.m_Time,
            Answered ? std::max<std::uint64_t>(1, Size.m_Tokens) : 0,
            EjectOptions, Now);
  if (Answered && Size.m_PrefixHash != 0)
    applyCacheEvent(Table.m_Hints,
                    {Server, 0, Size.m_PrefixHash, Size.m_PromptTokens}, Now,
                    HintOptions);
}

std::vector<EjectionReport> judgeServers(RoutingTable &Table, TimePoint Now) {
  std::vector<EjectionReport> Reports;
  for (auto &[Service, Routing] : Table.m_Services)
    for (const EjectionChange &Change :
         updateEjections(Routing.m_OutlierDetector, EjectOptions, Now))
      Reports.push_back({Service, Change});
  return Reports;
}

} // namespace mangocart
