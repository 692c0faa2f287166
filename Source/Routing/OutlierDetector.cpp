// Ejection of outliers.
#include "Routing/OutlierDetector.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <optional>
#include <tuple>

namespace mangocart {

namespace {

// Doublings after which the longest time has been reached.
constexpr std::uint32_t MaxDoublings = 16;

struct Suspicion {
  // How many times beyond its bound the server is; the worst go first.
  double m_Badness = 0.0;
  std::uint64_t m_BackendServer = 0;
  EjectionCause m_Cause = EjectionCause::None;

  auto operator<=>(const Suspicion &) const = default;
};

// What the median server does; none when fewer than two can be compared.
struct Peers {
  std::optional<double> m_SecondsPerToken;
  std::optional<double> m_FailurePart;
  std::optional<double> m_SecondsWithoutProgress;
};

using Measure =
    std::function<std::optional<double>(const JudgedServer &Server)>;

std::optional<double> median(const Ejection &State, const Measure &Of) {
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

Peers comparePeers(const Ejection &State, const EjectionOptions &Options,
                   TimePoint Now) {
  const std::uint32_t Least = Options.m_LeastObservations;
  return {
      median(State,
             [&](const JudgedServer &Server) -> std::optional<double> {
               if (Server.m_Observations < Least)
                 return std::nullopt;
               return Server.m_SecondsPerToken;
             }),
      median(State,
             [&](const JudgedServer &Server) -> std::optional<double> {
               // One call says enough of a peer: healthy servers have long
               // calls and few ends while others fail at once.
               if (Server.m_Calls == 0)
                 return std::nullopt;
               return Server.m_FailurePart;
             }),
      median(State, [&](const JudgedServer &Server) -> std::optional<double> {
        if (Server.m_Outstanding == 0)
          return std::nullopt;
        return seconds(Now - Server.m_Progress);
      })};
}

Suspicion suspect(std::uint64_t Name, const JudgedServer &Server,
                  const Peers &Of, const EjectionOptions &Options,
                  TimePoint Now) {
  const double Still = seconds(Now - Server.m_Progress);
  const double Stall = seconds(Options.m_StallAfter);
  if (Server.m_Outstanding > 0 && Still >= Stall &&
      Of.m_SecondsWithoutProgress.value_or(0.0) < Stall / 2)
    return {Still / Stall, Name, EjectionCause::Stalled};
  if (Server.m_Calls >= Options.m_LeastObservations && Of.m_FailurePart &&
      Server.m_FailurePart >= Options.m_FailurePart &&
      *Of.m_FailurePart < Options.m_FailurePart / 2)
    return {Server.m_FailurePart / Options.m_FailurePart, Name,
            EjectionCause::Failing};
  if (Server.m_Observations >= Options.m_LeastObservations &&
      Of.m_SecondsPerToken && *Of.m_SecondsPerToken > 0.0) {
    const double Ratio = Server.m_SecondsPerToken / *Of.m_SecondsPerToken;
    if (Ratio >= Options.m_SlowRatio)
      return {Ratio / Options.m_SlowRatio, Name, EjectionCause::Slow};
  }
  return {};
}

void eject(JudgedServer &Server, EjectionCause Cause,
           const EjectionOptions &Options, TimePoint Now) {
  if (Now - Server.m_EjectedUntil >= Options.m_ForgiveAfter)
    Server.m_InRow = 0;
  const std::uint32_t Doublings = std::min(Server.m_InRow, MaxDoublings);
  const Duration Time =
      std::min<Duration>(Options.m_BaseTime * (std::int64_t{1} << Doublings),
                         Options.m_LongestTime);
  ++Server.m_InRow;
  Server.m_Cause = Cause;
  Server.m_EjectedUntil = Now + Time;
}

// Starts the judgement anew: what came before the ejection doesn't count. A
// server that failed is on probation: one more failure ejects it again.
void bringBack(JudgedServer &Server, const EjectionOptions &Options,
               TimePoint Now) {
  const bool Failed = Server.m_Cause == EjectionCause::Failing;
  Server.m_Cause = EjectionCause::None;
  Server.m_SecondsPerToken = 0.0;
  Server.m_Observations = 0;
  Server.m_FailurePart = Failed ? Options.m_FailurePart : 0.0;
  Server.m_Calls = Failed ? std::max(Options.m_LeastObservations, 1U) - 1 : 0;
  Server.m_Progress = Now;
}

std::size_t mostEjected(std::size_t Servers, const EjectionOptions &Options) {
  if (Servers < 2)
    return 0;
  const auto Part = static_cast<std::size_t>(static_cast<double>(Servers) *
                                             Options.m_MaxPart);
  return std::max<std::size_t>(Part, 1);
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

void noteStart(Ejection &State, std::uint64_t BackendServer, TimePoint Now) {
  JudgedServer &Server = State.m_Servers[BackendServer];
  if (Server.m_Outstanding++ == 0)
    Server.m_Progress = Now;
}

void noteProgress(Ejection &State, std::uint64_t BackendServer, TimePoint Now) {
  State.m_Servers[BackendServer].m_Progress = Now;
}

void noteEnd(Ejection &State, std::uint64_t BackendServer, bool Failed,
             Duration Time, std::uint64_t Tokens,
             const EjectionOptions &Options, TimePoint Now) {
  JudgedServer &Server = State.m_Servers[BackendServer];
  Server.m_Outstanding -= std::min(Server.m_Outstanding, 1U);
  if (!Failed && Tokens == 0)
    return;
  // The first observation sets the mean.
  const double FailureWeight = Server.m_Calls == 0 ? 1.0 : Options.m_MeanWeight;
  Server.m_FailurePart +=
      FailureWeight * ((Failed ? 1.0 : 0.0) - Server.m_FailurePart);
  ++Server.m_Calls;
  if (Failed)
    return;
  Server.m_Progress = Now;
  const double Weight = Server.m_Observations == 0 ? 1.0 : Options.m_MeanWeight;
  Server.m_SecondsPerToken +=
      Weight *
      (seconds(Time) / static_cast<double>(Tokens) - Server.m_SecondsPerToken);
  ++Server.m_Observations;
}

void forgetServer(Ejection &State, std::uint64_t BackendServer) {
  State.m_Servers.erase(BackendServer);
}

std::vector<EjectionChange>
judge(Ejection &State, const EjectionOptions &Options, TimePoint Now) {
  std::vector<EjectionChange> Changes;
  std::size_t Ejected = 0;
  for (auto &[Name, Server] : State.m_Servers) {
    if (Server.m_Cause == EjectionCause::None)
      continue;
    if (Now < Server.m_EjectedUntil) {
      ++Ejected;
      continue;
    }
    bringBack(Server, Options, Now);
    Changes.push_back({Name, EjectionCause::None, Now});
  }
  const Peers Of = comparePeers(State, Options, Now);
  std::vector<Suspicion> Suspicions;
  for (const auto &[Name, Server] : State.m_Servers) {
    if (Server.m_Cause != EjectionCause::None)
      continue;
    const Suspicion Found = suspect(Name, Server, Of, Options, Now);
    if (Found.m_Cause != EjectionCause::None)
      Suspicions.push_back(Found);
  }
  std::sort(Suspicions.begin(), Suspicions.end(), std::greater<>());
  const std::size_t Most = mostEjected(State.m_Servers.size(), Options);
  for (const Suspicion &Each : Suspicions) {
    if (Ejected++ >= Most)
      break;
    JudgedServer &Server = State.m_Servers[Each.m_BackendServer];
    eject(Server, Each.m_Cause, Options, Now);
    Changes.push_back(
        {Each.m_BackendServer, Each.m_Cause, Server.m_EjectedUntil});
  }
  return Changes;
}

bool isEjected(const Ejection &State, std::uint64_t BackendServer,
               TimePoint Now) {
  const auto Found = State.m_Servers.find(BackendServer);
  return Found != State.m_Servers.end() &&
         Found->second.m_Cause != EjectionCause::None &&
         Now < Found->second.m_EjectedUntil;
}

double returnShare(const Ejection &State, std::uint64_t BackendServer,
                   const EjectionOptions &Options, TimePoint Now) {
  const auto Found = State.m_Servers.find(BackendServer);
  if (Found == State.m_Servers.end() || Found->second.m_InRow == 0)
    return 1.0;
  const double Passed =
      seconds(Now - Found->second.m_EjectedUntil) / seconds(Options.m_RampTime);
  return std::clamp(Options.m_FirstShare +
                        (1.0 - Options.m_FirstShare) * Passed,
                    Options.m_FirstShare, 1.0);
}

} // namespace mangocart
