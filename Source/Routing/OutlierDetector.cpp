#include "Routing/OutlierDetector.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <optional>
#include <tuple>

namespace mangocart {

namespace {

// Bounds the shift; the maximum ejection time is reached earlier.
constexpr std::uint32_t MaxDoublings = 16;

struct OutlierCandidate {
  // Ratio of the observed value to its threshold; the largest ratios are
  // ejected first.
  double m_Severity = 0.0;
  std::uint64_t m_BackendServer = 0;
  EjectionCause m_Cause = EjectionCause::None;

  auto operator<=>(const OutlierCandidate &) const = default;
};

// Medians over the servers; empty if fewer than two servers can be compared.
struct PeerMedians {
  std::optional<double> m_SecondsPerToken;
  std::optional<double> m_FailureRate;
  std::optional<double> m_SecondsWithoutProgress;
};

using ServerStatistic =
    std::function<std::optional<double>(const MonitoredServer &Server)>;

std::optional<double> median(const OutlierDetector &State,
                             const ServerStatistic &Of) {
  std::vector<double> Values;
  Values.reserve(State.m_Servers.size());
  for (const auto &[Name, Server] : State.m_Servers)
    if (const std::optional<double> Value = Of(Server))
      Values.push_back(*Value);
  if (Values.size() < 2)
    return std::nullopt;
  // The lower median: of two servers, the better one.
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>((Values.size() - 1) / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

double seconds(Duration Of) {
  return std::chrono::duration<double>(Of).count();
}

PeerMedians computeMedians(const OutlierDetector &State,
                           const OutlierDetectorOptions &Options,
                           TimePoint Now) {
  const std::uint32_t MinObservations = Options.m_MinObservations;
  return {median(State,
                 [&](const MonitoredServer &Server) -> std::optional<double> {
                   if (Server.m_Observations < MinObservations)
                     return std::nullopt;
                   return Server.m_SecondsPerToken;
                 }),
          median(State,
                 [&](const MonitoredServer &Server) -> std::optional<double> {
                   // One call is enough: healthy servers have long calls that
                   // rarely end, while failing servers fail their calls
                   // immediately.
                   if (Server.m_Calls == 0)
                     return std::nullopt;
                   return Server.m_FailureRate;
                 }),
          median(State,
                 [&](const MonitoredServer &Server) -> std::optional<double> {
                   if (Server.m_Outstanding == 0)
                     return std::nullopt;
                   return seconds(Now - Server.m_LastProgress);
                 })};
}

OutlierCandidate findOutlier(std::uint64_t Name, const MonitoredServer &Server,
                             const PeerMedians &Of,
                             const OutlierDetectorOptions &Options,
                             TimePoint Now) {
  const double IdleSeconds = seconds(Now - Server.m_LastProgress);
  const double StallSeconds = seconds(Options.m_StallTimeout);
  if (Server.m_Outstanding > 0 && IdleSeconds >= StallSeconds &&
      Of.m_SecondsWithoutProgress.value_or(0.0) < StallSeconds / 2)
    return {IdleSeconds / StallSeconds, Name, EjectionCause::Stalled};
  if (Server.m_Calls >= Options.m_MinObservations && Of.m_FailureRate &&
      Server.m_FailureRate >= Options.m_FailureRateThreshold &&
      *Of.m_FailureRate < Options.m_FailureRateThreshold / 2)
    return {Server.m_FailureRate / Options.m_FailureRateThreshold, Name,
            EjectionCause::Failing};
  if (Server.m_Observations >= Options.m_MinObservations &&
      Of.m_SecondsPerToken && *Of.m_SecondsPerToken > 0.0) {
    const double Ratio = Server.m_SecondsPerToken / *Of.m_SecondsPerToken;
    if (Ratio >= Options.m_SlowRatio)
      return {Ratio / Options.m_SlowRatio, Name, EjectionCause::Slow};
  }
  return {};
}

void eject(MonitoredServer &Server, EjectionCause Cause,
           const OutlierDetectorOptions &Options, TimePoint Now) {
  if (Now - Server.m_EjectedUntil >= Options.m_BackoffResetTime)
    Server.m_ConsecutiveEjections = 0;
  const std::uint32_t Doublings =
      std::min(Server.m_ConsecutiveEjections, MaxDoublings);
  const Duration Time = std::min<Duration>(Options.m_BaseEjectionTime *
                                               (std::int64_t{1} << Doublings),
                                           Options.m_MaxEjectionTime);
  ++Server.m_ConsecutiveEjections;
  Server.m_Cause = Cause;
  Server.m_EjectedUntil = Now + Time;
}

// Resets the statistics, so that observations from before the ejection are
// ignored. A server that was ejected for failures is ejected again after one
// more failure.
void reinstate(MonitoredServer &Server, const OutlierDetectorOptions &Options,
               TimePoint Now) {
  const bool Failed = Server.m_Cause == EjectionCause::Failing;
  Server.m_Cause = EjectionCause::None;
  Server.m_SecondsPerToken = 0.0;
  Server.m_Observations = 0;
  Server.m_FailureRate = Failed ? Options.m_FailureRateThreshold : 0.0;
  Server.m_Calls = Failed ? std::max(Options.m_MinObservations, 1U) - 1 : 0;
  Server.m_LastProgress = Now;
}

std::size_t maxEjected(std::size_t Servers,
                       const OutlierDetectorOptions &Options) {
  if (Servers < 2)
    return 0;
  const auto MaxCount = static_cast<std::size_t>(static_cast<double>(Servers) *
                                                 Options.m_MaxEjectedFraction);
  return std::max<std::size_t>(MaxCount, 1);
}

} // namespace

std::string_view toString(EjectionCause Cause) {
  switch (Cause) {
  case EjectionCause::None:
    return "none";
  case EjectionCause::Stalled:
    return "stalled";
  case EjectionCause::Slow:
    return "slow";
  case EjectionCause::Failing:
    return "failing";
  }
  return "unknown";
}

void recordStart(OutlierDetector &State, std::uint64_t BackendServer,
                 TimePoint Now) {
  MonitoredServer &Server = State.m_Servers[BackendServer];
  if (Server.m_Outstanding++ == 0)
    Server.m_LastProgress = Now;
}

void recordProgress(OutlierDetector &State, std::uint64_t BackendServer,
                    TimePoint Now) {
  State.m_Servers[BackendServer].m_LastProgress = Now;
}

void recordEnd(OutlierDetector &State, std::uint64_t BackendServer, bool Failed,
               Duration Time, std::uint64_t Tokens,
               const OutlierDetectorOptions &Options, TimePoint Now) {
  MonitoredServer &Server = State.m_Servers[BackendServer];
  Server.m_Outstanding -= std::min(Server.m_Outstanding, 1U);
  if (!Failed && Tokens == 0)
    return;
  // The first observation initializes the average.
  const double FailureWeight =
      Server.m_Calls == 0 ? 1.0 : Options.m_SmoothingFactor;
  Server.m_FailureRate +=
      FailureWeight * ((Failed ? 1.0 : 0.0) - Server.m_FailureRate);
  ++Server.m_Calls;
  if (Failed)
    return;
  Server.m_LastProgress = Now;
  const double Weight =
      Server.m_Observations == 0 ? 1.0 : Options.m_SmoothingFactor;
  Server.m_SecondsPerToken +=
      Weight *
      (seconds(Time) / static_cast<double>(Tokens) - Server.m_SecondsPerToken);
  ++Server.m_Observations;
}

void removeServer(OutlierDetector &State, std::uint64_t BackendServer) {
  State.m_Servers.erase(BackendServer);
}

std::vector<EjectionChange>
updateEjections(OutlierDetector &State, const OutlierDetectorOptions &Options,
                TimePoint Now) {
  std::vector<EjectionChange> Changes;
  std::size_t Ejected = 0;
  for (auto &[Name, Server] : State.m_Servers) {
    if (Server.m_Cause == EjectionCause::None)
      continue;
    if (Now < Server.m_EjectedUntil) {
      ++Ejected;
      continue;
    }
    reinstate(Server, Options, Now);
    Changes.push_back({Name, EjectionCause::None, Now});
  }
  const PeerMedians Of = computeMedians(State, Options, Now);
  std::vector<OutlierCandidate> Outliers;
  for (const auto &[Name, Server] : State.m_Servers) {
    if (Server.m_Cause != EjectionCause::None)
      continue;
    const OutlierCandidate Found = findOutlier(Name, Server, Of, Options, Now);
    if (Found.m_Cause != EjectionCause::None)
      Outliers.push_back(Found);
  }
  std::sort(Outliers.begin(), Outliers.end(), std::greater<>());
  const std::size_t MaxEjected = maxEjected(State.m_Servers.size(), Options);
  for (const OutlierCandidate &Each : Outliers) {
    if (Ejected++ >= MaxEjected)
      break;
    MonitoredServer &Server = State.m_Servers[Each.m_BackendServer];
    eject(Server, Each.m_Cause, Options, Now);
    Changes.push_back(
        {Each.m_BackendServer, Each.m_Cause, Server.m_EjectedUntil});
  }
  return Changes;
}

bool isEjected(const OutlierDetector &State, std::uint64_t BackendServer,
               TimePoint Now) {
  const auto Found = State.m_Servers.find(BackendServer);
  return Found != State.m_Servers.end() &&
         Found->second.m_Cause != EjectionCause::None &&
         Now < Found->second.m_EjectedUntil;
}

double trafficShare(const OutlierDetector &State, std::uint64_t BackendServer,
                    const OutlierDetectorOptions &Options, TimePoint Now) {
  const auto Found = State.m_Servers.find(BackendServer);
  if (Found == State.m_Servers.end() ||
      Found->second.m_ConsecutiveEjections == 0)
    return 1.0;
  const double Passed =
      seconds(Now - Found->second.m_EjectedUntil) / seconds(Options.m_RampTime);
  return std::clamp(Options.m_InitialShare +
                        (1.0 - Options.m_InitialShare) * Passed,
                    Options.m_InitialShare, 1.0);
}

} // namespace mangocart
