// Rounds of polling all ranks and deciding on the next orders.
#include "Balancer/GroupCoordinator.h"

#include "Core/PostTask.h"
#include "Events/EventLog.h"
#include "Experts/CopyCost.h"
#include "Raft/RaftPeers.h"

#include <algorithm>
#include <tuple>

namespace mangocart {

namespace {

using std::chrono::milliseconds;

// Time between two rounds while a change is in progress, and otherwise.
constexpr Duration SwitchInterval = milliseconds(12);
constexpr Duration IdleInterval = milliseconds(70);
// Interval at which a balancer that isn't the coordinator queries its own
// replica.
constexpr Duration OwnQueryInterval = milliseconds(1000);
constexpr Duration RoundTimeout = milliseconds(600);
// Timeout of a call to another balancer. A replica whose balancer doesn't
// answer is queried directly in the remaining time of the round.
constexpr Duration CallTimeout = milliseconds(250);
constexpr Duration DiscoverInterval = milliseconds(1500);
constexpr Duration PeerListInterval = milliseconds(250);
// Fraction of the link for counts and base maps; the rest is for reports and
// orders.
constexpr double BulkLinkFraction = 0.5;
// Time without a request from a coordinator after which the first rank takes
// over, and the additional delay of each further rank.
constexpr Duration TakeoverDelay = milliseconds(700);
constexpr Duration TakeoverDelayPerRank = milliseconds(150);
// Same while the coordinator may hold a pass. It then sends requests every 20
// ms, or every 150 ms while orders get no answer. Takeover must be fast,
// because callers that disconnect while the group is held keep their request
// slots in the engines.
constexpr Duration HeldTakeoverDelay = milliseconds(300);
constexpr Duration HeldTakeoverDelayPerRank = milliseconds(50);
constexpr unsigned RandomVersionBits = 10;
// Time that a stopping process waits for the end of a switch: ten rounds in
// which orders are resent.
constexpr Duration FinishTimeout = milliseconds(1500);

} // namespace

GroupCoordinator::GroupCoordinator(boost::asio::io_context &Worker,
                                   GroupCoordinatorDependencies Dependencies,
                                   std::uint64_t Seed)
    : m_Dependencies(std::move(Dependencies)), m_Timer(Worker), m_Random(Seed) {
}

void GroupCoordinator::start() {
  m_Started = RuntimeClock::now();
  postTask(m_Timer.get_executor(),
           [Self = shared_from_this()] { Self->tick(); });
}

void GroupCoordinator::finish(std::function<void()> Done) {
  postTask(m_Timer.get_executor(),
           [Self = shared_from_this(), Done = std::move(Done)]() mutable {
             Self->m_OnFinished = std::move(Done);
             Self->m_FinishDeadline = RuntimeClock::now() + FinishTimeout;
           });
}

void GroupCoordinator::receive(const schema::RankRequest &Request,
                               RankService::Handler Done) {
  // If two balancers coordinate, the one with the lower rank continues.
  if (m_OwnState && Request.group() == m_OwnState->m_Group &&
      Request.from_rank() != m_OwnState->m_Rank) {
    if (!m_IsCoordinating || Request.from_rank() < m_OwnState->m_Rank)
      m_LastCoordinatorRequest = RuntimeClock::now();
    m_LastNotice.reset();
    if (Request.has_notice())
      m_LastNotice = SwitchNotice{Request.from_rank(), Request.notice().epoch(),
                                  Request.notice().version()};
  }
  m_Dependencies.m_Service.query(Request, std::move(Done));
}

Duration GroupCoordinator::transferTime(double Bytes) const {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      Bytes / std::max(m_Dependencies.m_LinkBytesPerSecond, 1.0)));
}

Duration GroupCoordinator::interval() const {
  // Minimizes the time between hold and release.
  if (!m_Orders.empty())
    return Duration::zero();
  const bool Busy = m_IsCoordinating &&
                    (m_Switch.m_Phase != SwitchPhase::Idle || m_LastNotice);
  return Busy ? SwitchInterval : IdleInterval;
}

bool GroupCoordinator::shouldCoordinate(TimePoint Now) const {
  if (!m_OwnState || m_OwnState->m_Size < 2 || !m_Dependencies.m_Layout())
    return false;
  const TimePoint LastHeard = std::max(m_LastCoordinatorRequest, m_Started);
  const Duration Delay = m_LastNotice ? HeldTakeoverDelay : TakeoverDelay;
  const Duration Step =
      m_LastNotice ? HeldTakeoverDelayPerRank : TakeoverDelayPerRank;
  if (m_IsCoordinating)
    return Now - LastHeard >= Delay;
  return Now - LastHeard >= Delay + Step * m_OwnState->m_Rank;
}

void GroupCoordinator::tick() {
  const TimePoint Now = RuntimeClock::now();
  const bool MayHold = m_IsCoordinating && makeNotice(m_Switch);
  if (m_OnFinished && (!MayHold || Now >= m_FinishDeadline))
    return std::exchange(m_OnFinished, nullptr)();
  refreshOwnState();
  const bool IsCoordinating = shouldCoordinate(Now);
  if (IsCoordinating != m_IsCoordinating) {
    m_IsCoordinating = IsCoordinating;
    m_Switch = GroupSwitch();
    m_Switch.m_OwnRank = m_OwnState ? m_OwnState->m_Rank : 0;
    m_Orders.clear();
    m_WantsExperts = true;
    m_Map.reset();
    m_Dependencies.m_Events.write(
        Event::CoordinationChanged,
        {{"coordinates", IsCoordinating},
         {"group", m_OwnState ? m_OwnState->m_Group : ""},
         {"rank", m_OwnState ? m_OwnState->m_Rank : 0}});
  }
  if (m_IsCoordinating) {
    discover(Now);
    pollRanks();
  }
  if (m_AwaitedReplies == 0 || !m_IsCoordinating)
    scheduleTick();
}

void GroupCoordinator::scheduleTick() {
  m_Timer.expires_after(interval());
  m_Timer.async_wait(
      [Self = shared_from_this()](boost::system::error_code Error) {
        if (!Error)
          Self->tick();
      });
}

void GroupCoordinator::refreshOwnState() {
  const TimePoint Now = RuntimeClock::now();
  if (m_IsCoordinating || Now - m_LastOwnQuery < OwnQueryInterval)
    return;
  m_LastOwnQuery = Now;
  m_Dependencies.m_Service.query(
      {}, [Self = shared_from_this()](const schema::RankReply &Reply) {
        if (Reply.has_report())
          Self->m_OwnState = fromSchema(Reply.report());
      });
}

void GroupCoordinator::discover(TimePoint Now) {
  if (Now - m_LastPeerListUpdate >= PeerListInterval) {
    m_LastPeerListUpdate = Now;
    const std::map<PeerEndpoint, PeerEndpoint> Known =
        m_Dependencies.m_Balancers(m_OwnState->m_Group);
    std::erase_if(m_PeersByEndpoint, [&](const auto &Each) {
      return !Known.contains(Each.first);
    });
    for (const auto &[Balancer, Replica] : Known)
      m_PeersByEndpoint[Balancer].m_Replica = Replica;
  }
  for (auto &[To, Other] : m_PeersByEndpoint) {
    const bool IsOwnGroup =
        Other.m_State && Other.m_State->m_Group == m_OwnState->m_Group;
    if (IsOwnGroup || Other.m_IsRequestPending ||
        Now - Other.m_LastRequestTime < DiscoverInterval)
      continue;
    schema::RankRequest Request;
    Request.set_group(m_OwnState->m_Group);
    Request.set_from_rank(m_OwnState->m_Rank);
    sendRequest(To, Request, false, CallTimeout);
  }
}

// Returns one balancer per rank: the one that replied last, because a replaced
// replica may still be listed.
std::vector<std::optional<PeerEndpoint>>
GroupCoordinator::balancersByRank() const {
  std::vector<std::optional<PeerEndpoint>> Ranks(m_OwnState->m_Size);
  std::vector<TimePoint> LastHeard(m_OwnState->m_Size);
  for (const auto &[To, Other] : m_PeersByEndpoint) {
    if (!Other.m_State || Other.m_State->m_Group != m_OwnState->m_Group ||
        Other.m_State->m_Rank >= Ranks.size())
      continue;
    const std::uint32_t Rank = Other.m_State->m_Rank;
    if (!Ranks[Rank] || LastHeard[Rank] < Other.m_LastReplyTime) {
      Ranks[Rank] = To;
      LastHeard[Rank] = Other.m_LastReplyTime;
    }
  }
  return Ranks;
}

// Counts are also requested while a map is being copied, so that the next
// change can follow at once.
bool GroupCoordinator::wantsCounts() {
  const SwitchPhase Phase = m_Switch.m_Phase;
  const TimePoint Now = RuntimeClock::now();
  if ((Phase != SwitchPhase::Idle && Phase != SwitchPhase::Preparing) ||
      Now - m_LastCountsRequest < IdleInterval)
    return false;
  m_LastCountsRequest = Now;
  return true;
}

double GroupCoordinator::bulkBytesPerRound() const {
  return m_Dependencies.m_LinkBytesPerSecond * BulkLinkFraction *
         std::chrono::duration<double>(IdleInterval).count();
}

std::vector<bool> GroupCoordinator::ranksToCount() {
  const auto Layout = m_Dependencies.m_Layout();
  if (!Layout || !wantsCounts())
    return std::vector<bool>(m_OwnState->m_Size);
  const std::size_t Numbers = std::size_t{Layout->m_Layers} * Layout->m_Experts;
  return sampleRanks(m_CountSampler, m_OwnState->m_Size,
                     static_cast<double>(std::max(m_CountReplyBytes, Numbers)),
                     bulkBytesPerRound());
}

void GroupCoordinator::collectCounts(TimePoint Now) {
  std::vector<std::vector<std::uint64_t>> Counts;
  std::size_t LargestReply = 0;
  for (const std::optional<PeerEndpoint> &Each : balancersByRank()) {
    const schema::RankReply &Reply = m_PeersByEndpoint[*Each].m_Reply;
    Counts.emplace_back(Reply.counts().begin(), Reply.counts().end());
    if (!Reply.counts().empty())
      LargestReply = std::max(LargestReply, Reply.ByteSizeLong());
  }
  if (LargestReply == 0)
    return;
  m_CountReplyBytes = LargestReply;
  addCounts(m_Meter, Counts, Now);
}

bool GroupCoordinator::Peer::knows(std::uint64_t Map) const {
  return std::find(m_KnownMaps.begin(), m_KnownMaps.end(), Map) !=
         m_KnownMaps.end();
}

schema::RankOrder GroupCoordinator::encodeOrder(const RankOrder &Order,
                                                const Peer &To) const {
  const bool HasBase = Order.m_Map && m_Map &&
                       m_Map->m_Shape == Order.m_Map->m_Shape &&
                       To.knows(m_MapHash);
  return HasBase ? toSchema(Order, *m_Map) : toSchema(Order);
}

void GroupCoordinator::attachBaseMaps(
    const std::vector<std::optional<PeerEndpoint>> &Ranks,
    RequestsByRank &Requests) const {
  if (!m_Map || m_Switch.m_Phase != SwitchPhase::Idle)
    return;
  RankOrder Order;
  Order.m_Map = m_Map;
  const schema::RankOrder Whole = toSchema(Order);
  const auto Size = static_cast<double>(Whole.ByteSizeLong());
  double BytesLeft = bulkBytesPerRound();
  for (std::size_t Rank = 0; Rank < Ranks.size() && BytesLeft >= Size; ++Rank) {
    if (!Requests[Rank] || m_PeersByEndpoint.at(*Ranks[Rank]).knows(m_MapHash))
      continue;
    *Requests[Rank]->mutable_base_map() = Whole;
    BytesLeft -= Size;
  }
}

GroupCoordinator::RequestsByRank GroupCoordinator::requestsOfRound(
    const std::vector<std::optional<PeerEndpoint>> &Ranks) {
  const std::vector<bool> IsCounted = ranksToCount();
  const std::optional<SwitchNotice> Notice = makeNotice(m_Switch);
  RequestsByRank Requests(Ranks.size());
  for (std::uint32_t Rank = 0; Rank < Ranks.size(); ++Rank) {
    if (!Ranks[Rank] || m_PeersByEndpoint[*Ranks[Rank]].m_IsRequestPending)
      continue;
    schema::RankRequest &Request = Requests[Rank].emplace();
    Request.set_group(m_OwnState->m_Group);
    Request.set_from_rank(m_OwnState->m_Rank);
    Request.set_wants_counts(IsCounted[Rank]);
    Request.set_wants_experts(m_WantsExperts);
    if (Notice) {
      Request.mutable_notice()->set_epoch(Notice->m_Epoch);
      Request.mutable_notice()->set_version(Notice->m_Version);
    }
    if (const auto Order = m_Orders.find(Rank); Order != m_Orders.end())
      *Request.mutable_order() =
          encodeOrder(Order->second, m_PeersByEndpoint[*Ranks[Rank]]);
  }
  attachBaseMaps(Ranks, Requests);
  m_Orders.clear();
  return Requests;
}

void GroupCoordinator::pollRanks() {
  ++m_Round;
  m_AwaitedReplies = 0;
  const auto Ranks = balancersByRank();
  const RequestsByRank Requests = requestsOfRound(Ranks);
  double Bytes = 0;
  for (const std::optional<schema::RankRequest> &Each : Requests)
    Bytes += Each ? static_cast<double>(Each->ByteSizeLong()) : 0.0;
  // Orders with whole maps fill the link for longer than a call may take.
  const Duration Transfer = transferTime(Bytes);
  for (std::uint32_t Rank = 0; Rank < Ranks.size(); ++Rank) {
    if (!Requests[Rank])
      continue;
    // The round doesn't wait for a rank that didn't answer the last request.
    const bool IsAwaited = !m_PeersByEndpoint[*Ranks[Rank]].m_IsUnreachable;
    if (IsAwaited)
      ++m_AwaitedReplies;
    sendRequest(*Ranks[Rank], *Requests[Rank], IsAwaited,
                CallTimeout + 2 * Transfer);
  }
  if (m_AwaitedReplies == 0)
    return;
  m_Timer.expires_after(RoundTimeout + 2 * Transfer);
  m_Timer.async_wait([Self = shared_from_this(),
                      Round = m_Round](boost::system::error_code Error) {
    if (!Error && Self->m_Round == Round && Self->m_AwaitedReplies > 0)
      Self->endRound();
  });
}

void GroupCoordinator::sendRequest(const PeerEndpoint &To,
                                   const schema::RankRequest &Request,
                                   bool IsAwaited, Duration Timeout) {
  Peer &Other = m_PeersByEndpoint[To];
  Other.m_IsRequestPending = true;
  Other.m_LastRequestTime = RuntimeClock::now();
  const auto OnReply = [Self = shared_from_this(), To, IsAwaited,
                        Round = m_Round](schema::RankReply Reply) {
    postTask(Self->m_Timer.get_executor(),
             [Self, To, IsAwaited, Round, Reply = std::move(Reply)]() mutable {
               Self->onReply(To, std::move(Reply));
               if (IsAwaited && Round == Self->m_Round &&
                   Self->m_AwaitedReplies > 0 && --Self->m_AwaitedReplies == 0)
                 Self->endRound();
             });
  };
  if (To == m_Dependencies.m_Self)
    return m_Dependencies.m_Service.query(Request, OnReply);
  // Holds and releases go to the replica directly, so that they don't depend on
  // the balancer on its machine.
  const bool IsDirect = Request.order().kind() == schema::RankOrder::HOLD ||
                        Request.order().kind() == schema::RankOrder::RELEASE;
  if (!IsDirect)
    return callBalancer(To, Request, Timeout, OnReply);
  schema::RankRequest RequestWithoutOrder = Request;
  RequestWithoutOrder.clear_order();
  m_Dependencies.m_Service.sendOrderTo(
      {Other.m_Replica.m_Address, Other.m_Replica.m_Port}, Request.order(),
      [Self = shared_from_this(), To, RequestWithoutOrder, Timeout, OnReply] {
        Self->callBalancer(To, RequestWithoutOrder, Timeout, OnReply);
      });
}

void GroupCoordinator::callBalancer(const PeerEndpoint &To,
                                    const schema::RankRequest &Request,
                                    Duration Timeout,
                                    const RankService::Handler &OnReply) {
  // While a pass may be held, a replica whose balancer is unreachable is
  // queried directly.
  std::optional<PeerEndpoint> FallbackReplica;
  if (m_Switch.m_Phase != SwitchPhase::Idle &&
      m_Switch.m_Phase != SwitchPhase::Preparing)
    FallbackReplica = m_PeersByEndpoint[To].m_Replica;
  m_Dependencies.m_Peers.call(
      To, RankMethod, Request.SerializeAsString(), Timeout,
      [Self = shared_from_this(), OnReply, FallbackReplica,
       Request](const Result<std::string, PeerError> &Bytes) {
        schema::RankReply Reply;
        if (Bytes && Reply.ParseFromString(Bytes.value()))
          return OnReply(std::move(Reply));
        if (!FallbackReplica)
          return OnReply({});
        postTask(Self->m_Timer.get_executor(),
                 [Self, OnReply, FallbackReplica, Request] {
                   Self->m_Dependencies.m_Service.queryReplica(
                       {FallbackReplica->m_Address, FallbackReplica->m_Port},
                       Request, OnReply);
                 });
      });
}

void GroupCoordinator::onReply(const PeerEndpoint &From,
                               schema::RankReply Reply) {
  const auto Found = m_PeersByEndpoint.find(From);
  if (Found == m_PeersByEndpoint.end())
    return;
  Peer &Other = Found->second;
  Other.m_IsRequestPending = false;
  Other.m_Reply = std::move(Reply);
  // A single resend may be due to a process that was late.
  if (Other.m_Reply.order_sends() > 2)
    m_Switch.m_LastResend = RuntimeClock::now();
  // Absent if the replica was queried without its balancer.
  Other.m_KnownMaps.assign(Other.m_Reply.known_maps().begin(),
                           Other.m_Reply.known_maps().end());
  if (!Other.m_Reply.has_report())
    return;
  Other.m_IsUnreachable = false;
  Other.m_State = fromSchema(Other.m_Reply.report());
  Other.m_LastReplyTime = RuntimeClock::now();
  if (From == m_Dependencies.m_Self)
    m_OwnState = Other.m_State;
}

void GroupCoordinator::endRound() {
  m_AwaitedReplies = 0;
  if (m_IsCoordinating && m_OwnState)
    decide();
  scheduleTick();
}

// Uses only reports of this round, because an old one may hide later events.
std::vector<std::optional<RankReport>> GroupCoordinator::reportsOfRound() {
  std::vector<std::optional<RankReport>> Reports;
  for (const std::optional<PeerEndpoint> &Each : balancersByRank()) {
    Reports.emplace_back();
    if (!Each)
      continue;
    Peer &Other = m_PeersByEndpoint[*Each];
    if (!Other.m_IsRequestPending && Other.m_Reply.has_report())
      Reports.back() = Other.m_State->m_Report;
    else if (!std::exchange(Other.m_IsUnreachable, true))
      m_Dependencies.m_Events.write(Event::RankUnreachable,
                                    {{"balancer", toString(*Each)},
                                     {"phase", toString(m_Switch.m_Phase)}});
  }
  return Reports;
}

void GroupCoordinator::decide() {
  const TimePoint Now = RuntimeClock::now();
  const std::vector<std::optional<RankReport>> Found = reportsOfRound();
  if (std::any_of(Found.begin(), Found.end(),
                  [](const auto &Each) { return !Each; }))
    return decideWithMissingRanks(Found);
  std::vector<RankReport> Reports;
  Reports.reserve(Found.size());
  for (const std::optional<RankReport> &Each : Found)
    Reports.push_back(*Each);
  updateActiveMap();
  const SwitchPhase Before = m_Switch.m_Phase;
  collectCounts(Now);
  if (Before == SwitchPhase::Idle)
    planChange(Reports, Now);
  SwitchInputs Inputs;
  Inputs.m_UnusedVersion = nextUnusedVersion(highestVersion(Reports));
  Inputs.m_ActiveMap = m_Map;
  queueOrders(step(m_Switch, Reports, Inputs, Now));
  logPhaseChange(Before);
  // The orders are sent with the next round, which follows at once.
  const RankReport &First = Reports.front();
  m_WantsExperts = !m_Map || First.m_MapVersion != m_MapVersion ||
                   First.m_Epoch != m_MapEpoch;
}

void GroupCoordinator::decideWithMissingRanks(
    const std::vector<std::optional<RankReport>> &Reports) {
  std::vector<RankReport> Present;
  for (const std::optional<RankReport> &Each : Reports)
    if (Each)
      Present.push_back(*Each);
  if (Present.empty())
    return;
  const SwitchPhase Before = m_Switch.m_Phase;
  SwitchInputs Inputs;
  Inputs.m_UnusedVersion = nextUnusedVersion(highestVersion(Present));
  // The expert lists are needed to roll back a hold without its coordinator.
  m_WantsExperts =
      std::any_of(Present.begin(), Present.end(),
                  [](const RankReport &R) { return R.m_HeldPass != 0; });
  if (m_WantsExperts && Before == SwitchPhase::Idle)
    Inputs.m_ActiveMap = buildMapFromReplies();
  queueOrders(stepWithMissingRanks(m_Switch, Reports, m_LastNotice, Inputs,
                                   RuntimeClock::now()));
  logPhaseChange(Before);
}

void GroupCoordinator::queueOrders(std::vector<RankOrder> Orders) {
  for (RankOrder &Order : Orders) {
    const std::uint32_t Rank = Order.m_Rank;
    m_Orders[Rank] = std::move(Order);
  }
}

void GroupCoordinator::logPhaseChange(SwitchPhase Before) {
  if (m_Switch.m_Phase != Before)
    m_Dependencies.m_Events.write(
        Event::SwitchPhaseChanged,
        {{"from", toString(Before)},
         {"to", toString(m_Switch.m_Phase)},
         {"version", m_Switch.m_Version},
         {"pass", m_Switch.m_Pass},
         {"epoch", m_Switch.m_Epoch},
         {"absent", m_Switch.m_UnreachableRank
                        ? std::to_string(*m_Switch.m_UnreachableRank)
                        : ""}});
}

std::shared_ptr<const ExpertMap> GroupCoordinator::buildMapFromReplies() const {
  const auto Layout = m_Dependencies.m_Layout();
  const auto Ranks = balancersByRank();
  if (!Layout)
    return nullptr;
  auto Map = std::make_shared<ExpertMap>();
  Map->m_Shape = {static_cast<std::uint32_t>(Ranks.size()), Layout->m_Experts,
                  Layout->m_Layers, Layout->m_SlotsPerRank};
  Map->m_Slots.assign(std::size_t{Layout->m_Layers} * Ranks.size() *
                          Layout->m_SlotsPerRank,
                      EmptySlot);
  std::vector<std::uint32_t> RanksWithoutList;
  std::vector<bool> IsHeld(std::size_t{Layout->m_Layers} * Layout->m_Experts);
  for (std::uint32_t Rank = 0; Rank < Ranks.size(); ++Rank) {
    const Peer *Other =
        Ranks[Rank] ? &m_PeersByEndpoint.at(*Ranks[Rank]) : nullptr;
    if (!Other || Other->m_IsRequestPending ||
        static_cast<std::uint32_t>(Other->m_Reply.experts_in_layer_size()) !=
            Layout->m_Layers) {
      RanksWithoutList.push_back(Rank);
      continue;
    }
    int At = 0;
    for (std::uint32_t Layer = 0; Layer < Layout->m_Layers; ++Layer)
      for (std::uint32_t Slot = 0;
           Slot < Other->m_Reply.experts_in_layer(static_cast<int>(Layer));
           ++Slot) {
        const auto Expert = static_cast<ExpertId>(Other->m_Reply.experts(At++));
        if (Slot >= Layout->m_SlotsPerRank || Expert >= Layout->m_Experts)
          continue;
        Map->m_Slots[slotIndex(Map->m_Shape, Layer, Rank, Slot)] = Expert;
        IsHeld[std::size_t{Layer} * Layout->m_Experts + Expert] = true;
      }
  }
  for (std::uint32_t Layer = 0; Layer < Layout->m_Layers; ++Layer) {
    std::uint32_t Next = 0;
    for (std::uint32_t Expert = 0; Expert < Layout->m_Experts; ++Expert) {
      if (IsHeld[std::size_t{Layer} * Layout->m_Experts + Expert])
        continue;
      if (Next == RanksWithoutList.size() * Layout->m_SlotsPerRank)
        return nullptr;
      Map->m_Slots[slotIndex(
          Map->m_Shape, Layer, RanksWithoutList[Next / Layout->m_SlotsPerRank],
          Next % Layout->m_SlotsPerRank)] = static_cast<ExpertId>(Expert);
      ++Next;
    }
  }
  return findInvariantViolation(*Map).empty() ? Map : nullptr;
}

// Builds the active map from the lists of all ranks.
void GroupCoordinator::updateActiveMap() {
  const auto Layout = m_Dependencies.m_Layout();
  if (!m_WantsExperts || !Layout)
    return;
  std::optional<std::pair<std::uint64_t, std::uint64_t>> VersionAndEpoch;
  for (const std::optional<PeerEndpoint> &Each : balancersByRank()) {
    const schema::RankReply &Reply = m_PeersByEndpoint[*Each].m_Reply;
    const std::pair Own{Reply.experts_version(), Reply.report().epoch()};
    if (static_cast<std::uint32_t>(Reply.experts_in_layer_size()) !=
            Layout->m_Layers ||
        (VersionAndEpoch && *VersionAndEpoch != Own))
      return;
    VersionAndEpoch = Own;
  }
  auto Map = buildMapFromReplies();
  if (!Map || !VersionAndEpoch)
    return;
  std::tie(m_MapVersion, m_MapEpoch) = *VersionAndEpoch;
  m_Map = std::move(Map);
  m_MapHash = hashOf(*m_Map);
}

std::uint64_t GroupCoordinator::nextUnusedVersion(std::uint64_t Above) {
  const std::uint64_t Highest =
      std::max({Above, m_LastVersion,
                RuntimeClock::wallMilliseconds() << RandomVersionBits});
  // The clock and random bits make it unique among other coordinators and
  // earlier runs of this one.
  return ((Highest >> RandomVersionBits) + 1) << RandomVersionBits |
         uniform(m_Random, 0, (std::uint64_t{1} << RandomVersionBits) - 1);
}

double GroupCoordinator::occupancy(const ExpertLayout &Layout) const {
  double Requests = 0;
  double RequestSlots = 0;
  for (const auto &[To, Other] : m_PeersByEndpoint) {
    if (!Other.m_State || Other.m_State->m_Group != m_OwnState->m_Group)
      continue;
    Requests += Other.m_State->m_Running + Other.m_State->m_Waiting;
    RequestSlots += Layout.m_RequestSlots;
  }
  return RequestSlots > 0 ? Requests / RequestSlots : 1.0;
}

RankSlowness GroupCoordinator::slowness() const {
  // Smaller values are measurement noise.
  constexpr double MinSlowness = 1.15;
  RankSlowness Factors;
  for (const std::optional<PeerEndpoint> &Each : balancersByRank()) {
    const double Own = m_PeersByEndpoint.at(*Each).m_State->m_Slowness;
    Factors.m_Factors.push_back(Own >= MinSlowness ? Own : 1.0);
  }
  return Factors;
}

void GroupCoordinator::planChange(const std::vector<RankReport> &Reports,
                                  TimePoint Now) {
  const auto Layout = m_Dependencies.m_Layout();
  const bool Known = m_Map && Reports.front().m_MapVersion == m_MapVersion &&
                     Reports.front().m_Epoch == m_MapEpoch;
  if (m_OnFinished || !Layout || !Known || !isSettled(Reports) ||
      !hasEnoughCounts(m_Meter) ||
      m_Meter.m_Load.m_Tokens.size() !=
          std::size_t{Layout->m_Layers} * Layout->m_Experts)
    return;
  const RankSlowness Slowness = slowness();
  const StepLoad CurrentLoad = stepLoad(*m_Map, m_Meter.m_Load, Slowness);
  if (CurrentLoad.m_Mean <= 0)
    return;
  const double Occupancy = occupancy(*Layout);
  const ExpertMap Next = placeIncrementally(
      *m_Map, m_Meter.m_Load, Slowness,
      copyAwarePlacement({Layout->m_CopyTime, Layout->m_MaxNewPerLayer},
                         CurrentLoad, Occupancy));
  const double Before = CurrentLoad.skew();
  const double After = stepLoad(Next, m_Meter.m_Load, Slowness).skew();
  if (Before - After <
      minSkewReduction(Occupancy, hasRecentResends(m_Switch, Now)))
    return;
  const std::uint64_t Version = nextUnusedVersion(highestVersion(Reports));
  m_LastVersion = Version;
  m_Dependencies.m_Events.write(Event::MapChangeBegun,
                                {{"version", Version},
                                 {"replaces", m_MapVersion},
                                 {"skew_before", Before},
                                 {"skew_after", After},
                                 {"weights", weightsMoved(*m_Map, Next)},
                                 {"occupancy", Occupancy}});
  beginSwitch(m_Switch, Version, std::make_shared<const ExpertMap>(Next),
              Reports, Now);
}

} // namespace mangocart
