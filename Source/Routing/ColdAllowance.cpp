// Permits, their division among gateways, and the requests that use them.
#include "Routing/ColdAllowance.h"

#include "Core/Hash.h"

#include <algorithm>
#include <cmath>

namespace mangocart {

namespace {

// Requests that were sent a second apart may arrive a little closer. With a
// wider window the permits would no longer allow 0.9 of the rate.
constexpr Duration MinWindow = std::chrono::milliseconds(1010);
// Part of the rate that the permits must allow, with a margin for requests that
// are sent late.
constexpr double MinUsedFraction = 0.91;
// Voters name the gateways twice a second. Without an update for this time no
// majority was connected.
constexpr Duration MaxUpdateGap = std::chrono::seconds(3);
// Far above the rate of any server; keeps the permits within bounds.
constexpr double MaxRequestsPerSecond = 1e6;

// Number of gateways that rank before this one at the server. Their permits are
// dealt out one by one in the order of the ranks.
std::size_t computeRank(const std::vector<std::string> &Names,
                        const std::string &Self, std::uint64_t Seed) {
  const std::uint64_t Own = hash64(Self, Seed);
  return static_cast<std::size_t>(
      std::count_if(Names.begin(), Names.end(), [&](const std::string &Each) {
        return Each != Self && hash64(Each, Seed) > Own;
      }));
}

std::size_t rankAt(const GatewaySnapshot &List, const std::string &Self,
                   std::string_view Server) {
  const auto Known = List.m_Ranks.find(Server);
  if (Known != List.m_Ranks.end())
    return Known->second;
  const std::size_t Rank = computeRank(List.m_Names, Self, hash64(Server));
  List.m_Ranks.emplace(Server, Rank);
  return Rank;
}

std::size_t permitsAt(const GatewaySnapshot &List, std::size_t Rank,
                      const ColdPermits &All, bool UsesReserve) {
  const std::size_t Gateways = std::max<std::size_t>(List.m_Names.size(), 1);
  if (Rank < All.m_Count)
    return (All.m_Count - Rank - 1) / Gateways + 1;
  return UsesReserve && Rank - All.m_Count < All.m_Reserve ? 1 : 0;
}

const ColdServer *findServer(const ColdAllowance &Cold,
                             std::string_view Server) {
  const auto Found = Cold.m_Servers.find(Server);
  return Found == Cold.m_Servers.end() ? nullptr : &Found->second;
}

ColdServer &serverOf(ColdAllowance &Cold, std::string_view Server) {
  const auto Found = Cold.m_Servers.find(Server);
  return Found == Cold.m_Servers.end() ? Cold.m_Servers[std::string(Server)]
                                       : Found->second;
}

std::optional<double> rateOf(const ColdAllowance &Cold,
                             std::string_view Service) {
  const auto Found = Cold.m_Rates.find(Service);
  if (Found == Cold.m_Rates.end())
    return std::nullopt;
  return Found->second;
}

} // namespace

ColdPermits coldPermits(const ColdAllowanceOptions &Options,
                        double RequestsPerSecond) {
  const double Rate = std::clamp(RequestsPerSecond, 0.0, MaxRequestsPerSecond);
  const double Most =
      std::floor(Rate * Options.m_BurstFactor + Options.m_BurstSlack);
  // Half of what the server bears, or more if that is too little to use it.
  const double Wanted =
      std::max(std::floor(Most / 2.0), std::ceil(Rate * MinUsedFraction));
  const double Count = std::max(1.0, std::min({Wanted, Most, std::ceil(Rate)}));
  const double Seconds = Count / std::max(Rate, 1e-3);
  return {static_cast<std::size_t>(Count),
          static_cast<std::size_t>(std::max(0.0, Most - Count)),
          std::max(MinWindow, std::chrono::duration_cast<Duration>(
                                  std::chrono::duration<double>(Seconds)))};
}

void updateGateways(ColdAllowance &Cold, const GatewayList &Named,
                    bool HasMajority, TimePoint Now) {
  Cold.m_Self = Named.m_Self;
  if (!HasMajority || Now - Cold.m_LastUpdate > MaxUpdateGap)
    Cold.m_MajoritySince.reset();
  Cold.m_LastUpdate = Now;
  if (HasMajority) {
    if (!Cold.m_MajoritySince)
      Cold.m_MajoritySince = Now;
    if (!Cold.m_FirstConfirmed)
      Cold.m_FirstConfirmed = Now;
  }
  for (const std::string &Each : Named.m_All)
    Cold.m_LastNamed[Each] = Now;
  Cold.m_LastNamed[Named.m_Self] = Now;
  if (Cold.m_MajoritySince)
    std::erase_if(Cold.m_LastNamed, [&](const auto &Each) {
      return Now - std::max(Each.second, *Cold.m_MajoritySince) >=
             Cold.m_Options.m_GatewayRetention;
    });
  std::vector<std::string> Names;
  for (const auto &[Name, Last] : Cold.m_LastNamed)
    Names.push_back(Name);
  auto &Snapshots = Cold.m_Snapshots;
  if (Snapshots.empty() || Snapshots.back().m_Names != Names)
    Snapshots.push_back({std::move(Names), Now});
  // A list was in force until the next one came.
  while (Snapshots.size() > 1 &&
         Now - Snapshots[1].m_Since >= Cold.m_Options.m_GainDelay)
    Snapshots.pop_front();
}

std::size_t ownPermits(const ColdAllowance &Cold, const ColdQuery &Query,
                       TimePoint Now) {
  const auto Rate = rateOf(Cold, Query.m_Service);
  if (!Rate || Cold.m_Snapshots.empty())
    return 0;
  const bool IsCold = isCold(Cold, Query, Now);
  if (IsCold && withoutPartUntil(Cold, Now))
    return 0;
  const ColdPermits All = coldPermits(Cold.m_Options, *Rate);
  const bool UsesReserve = Query.m_MayUseReserve && !IsCold;
  std::size_t Least = All.m_Count;
  for (std::size_t I = 0; I < Cold.m_Snapshots.size(); ++I) {
    const bool IsPast =
        I + 1 < Cold.m_Snapshots.size() &&
        Now - Cold.m_Snapshots[I + 1].m_Since >= Cold.m_Options.m_GainDelay;
    if (!IsPast)
      Least = std::min(Least, permitsAt(Cold.m_Snapshots[I],
                                        rankAt(Cold.m_Snapshots[I], Cold.m_Self,
                                               Query.m_Server),
                                        All, UsesReserve));
  }
  return Least;
}

void allowReserve(const ColdAllowance &Cold, std::span<ColdQuery> Queries,
                  TimePoint Now) {
  const bool HasPermit =
      std::any_of(Queries.begin(), Queries.end(), [&](const ColdQuery &Each) {
        return ownPermits(Cold, Each, Now) > 0;
      });
  for (ColdQuery &Each : Queries)
    Each.m_MayUseReserve = !HasPermit;
}

bool hasPart(const ColdAllowance &Cold, const ColdQuery &Query, TimePoint Now) {
  return !Cold.m_Rates.contains(Query.m_Service) ||
         ownPermits(Cold, Query, Now) > 0;
}

std::optional<TimePoint> withoutPartUntil(const ColdAllowance &Cold,
                                          TimePoint Now) {
  if (!Cold.m_FirstConfirmed)
    return Now + Cold.m_Options.m_GainDelay;
  const TimePoint End = *Cold.m_FirstConfirmed + Cold.m_Options.m_GainDelay;
  return Now < End ? std::optional(End) : std::nullopt;
}

bool isCold(const ColdAllowance &Cold, const ColdQuery &Query, TimePoint Now) {
  if (Query.m_AnnouncedUntil > Now)
    return true;
  const ColdServer *Known = findServer(Cold, Query.m_Server);
  return Known && Known->m_ColdUntil > Now;
}

std::optional<TimePoint> nextAllowed(const ColdAllowance &Cold,
                                     const ColdQuery &Query, TimePoint Now) {
  const auto Rate = rateOf(Cold, Query.m_Service);
  if (!Rate)
    return Now;
  const std::size_t Permits = ownPermits(Cold, Query, Now);
  if (Permits == 0)
    return std::nullopt;
  const ColdServer *Known = findServer(Cold, Query.m_Server);
  if (!Known)
    return Now;
  const bool IsCold = isCold(Cold, Query, Now);
  const Duration Window = coldPermits(Cold.m_Options, *Rate).m_Window;
  std::size_t Used = 0;
  // The oldest of the newest Permits requests must leave the window first.
  for (auto Each = Known->m_Sent.rbegin(); Each != Known->m_Sent.rend();
       ++Each) {
    if (Now - Each->m_At >= Window)
      break;
    if ((IsCold || !Each->m_IsConfirmed) && ++Used == Permits)
      return Each->m_At + Window;
  }
  return Now;
}

void recordColdSent(ColdAllowance &Cold, std::string_view Server,
                    std::string_view Service, TimePoint Now) {
  const auto Rate = rateOf(Cold, Service);
  if (!Rate)
    return;
  ColdServer &Known = serverOf(Cold, Server);
  const Duration Window = coldPermits(Cold.m_Options, *Rate).m_Window;
  while (!Known.m_Sent.empty() && Now - Known.m_Sent.front().m_At >= Window)
    Known.m_Sent.pop_front();
  Known.m_Sent.push_back({Now, false});
}

void recordColdAnswer(ColdAllowance &Cold, std::string_view Server,
                      Duration ColdRemaining, TimePoint SentAt, TimePoint Now) {
  if (ColdRemaining > Duration::zero()) {
    ColdServer &Known = serverOf(Cold, Server);
    Known.m_ColdUntil = std::max(Known.m_ColdUntil, Now + ColdRemaining);
    return;
  }
  const auto Found = Cold.m_Servers.find(Server);
  if (Found == Cold.m_Servers.end())
    return;
  // The oldest open one, as it expires first: the request itself may have been
  // recorded a little before SentAt.
  std::deque<SentRequest> &Sent = Found->second.m_Sent;
  const auto Open =
      std::find_if(Sent.begin(), Sent.end(),
                   [](const SentRequest &Each) { return !Each.m_IsConfirmed; });
  if (Open != Sent.end() && Open->m_At <= SentAt)
    Open->m_IsConfirmed = true;
}

void removeExpired(ColdAllowance &Cold, TimePoint Now) {
  // Longer than any window of a rate that is in use.
  constexpr Duration Retention = std::chrono::minutes(20);
  std::erase_if(Cold.m_Servers, [&](const auto &Each) {
    const ColdServer &Server = Each.second;
    return Server.m_ColdUntil <= Now &&
           (Server.m_Sent.empty() ||
            Now - Server.m_Sent.back().m_At >= Retention);
  });
}

} // namespace mangocart
