// Passes of rank groups, reports between gateways, and arrivals.
#include "PrefillModel.h"

#include "Core/Random.h"
#include "Routing/ReplicaChoice.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <vector>

namespace mangocart {

namespace {

// The engine of the customer with uneven demand.
constexpr double StepMs = 5.85;
constexpr double StepMsPerRequest = 0.426;
constexpr double StepMsPer1000Context = 0.036;
constexpr double TokensPerMs = 61.2;
constexpr double MsPerMillionPairs = 0.325;
constexpr unsigned StepsPerPass = 6;
constexpr std::uint64_t TokensPerPass = std::uint64_t{512} * StepsPerPass;
constexpr double ExpertShare = 0.85;
// Load of the most loaded rank by experts over the mean.
constexpr double ExpertSkew = 1.4;
constexpr std::uint32_t Slots = 10;
constexpr double TargetMs = 400.0;
constexpr double GapTargetMs = 120.0;
constexpr double DisconnectMs = 2000.0;
constexpr double MaxHoldMs = 150.0;

struct Request {
  double m_ArrivedMs = 0.0;
  std::size_t m_Gateway = 0;
  std::size_t m_Rank = 0;
  bool m_IsLong = false;
  std::uint32_t m_PromptTokens = 0;
  std::uint32_t m_UnreadTokens = 0;
  unsigned m_EventsLeft = 0;
  unsigned m_Output = 0;
  bool m_HasBegun = false;
  bool m_HasLateGap = false;
  double m_FirstEventMs = 0.0;
};

struct Counts {
  std::uint32_t m_Requests = 0;
  std::uint64_t m_Tokens = 0;
  std::uint64_t m_Pending = 0;
};

struct Rank {
  // In order of arrival.
  std::vector<std::size_t> m_Requests;
};

struct Group {
  bool m_Runs = false;
  double m_EndsMs = 0.0;
};

class Model {
public:
  explicit Model(const PrefillModelOptions &Options)
      : m_Options(Options), m_Random(Options.m_Seed),
        m_RankCount(Options.m_Groups * Options.m_RanksPerGroup),
        m_Ranks(m_RankCount), m_Groups(Options.m_Groups),
        m_Own(Options.m_Gateways, std::vector<Counts>(m_RankCount)),
        m_Reported(m_Own), m_Waiting(Options.m_Gateways),
        m_NextReport(Options.m_Gateways) {
    const double Interval =
        std::clamp(3.0 * static_cast<double>(Options.m_Gateways), 40.0, 400.0);
    m_ReportIntervalMs = Interval;
    for (double &Each : m_NextReport)
      Each = uniformReal(m_Random) * Interval;
    m_InTransit.resize(Options.m_Gateways);
  }

  PrefillModelResult run() {
    const double EndMs = m_Options.m_Seconds * 1000.0;
    double NextArrival = 0.0;
    while (m_Now < EndMs) {
      double Next = NextArrival;
      for (const Group &Each : m_Groups)
        if (Each.m_Runs)
          Next = std::min(Next, Each.m_EndsMs);
      m_Now = Next;
      deliverReports();
      if (Next == NextArrival) {
        const PromptLoad Load = m_Options.m_Load(m_Now / 1000.0);
        arrive(Load);
        NextArrival +=
            -std::log(1.0 - uniformReal(m_Random)) / Load.m_Rate * 1000.0;
      } else {
        for (std::size_t I = 0; I < m_Groups.size(); ++I)
          if (m_Groups[I].m_Runs && m_Groups[I].m_EndsMs <= m_Now)
            endPass(I);
      }
      dispatchAll();
      for (std::size_t I = 0; I < m_Groups.size(); ++I)
        if (!m_Groups[I].m_Runs)
          beginPass(I);
    }
    return m_Result;
  }

private:
  PromptResult &resultOf(const Request &Each) {
    return Each.m_IsLong ? m_Result.m_Long : m_Result.m_Short;
  }

  bool hasFailed(std::size_t Gateway) const {
    Random ByGateway(Gateway);
    return uniformReal(ByGateway) < m_Options.m_FailedFraction;
  }

  void arrive(const PromptLoad &Load) {
    Request New;
    New.m_ArrivedMs = m_Now;
    do
      New.m_Gateway = uniform(m_Random, 0, m_Options.m_Gateways - 1);
    while (hasFailed(New.m_Gateway));
    New.m_IsLong = uniformReal(m_Random) < Load.m_LongFraction;
    New.m_PromptTokens =
        static_cast<std::uint32_t>(New.m_IsLong ? uniform(m_Random, 2400, 2880)
                                                : uniform(m_Random, 200, 1200));
    New.m_UnreadTokens = New.m_PromptTokens;
    New.m_EventsLeft = static_cast<unsigned>(uniform(m_Random, 5, 41));
    New.m_Output = New.m_EventsLeft * StepsPerPass;
    m_All.push_back(New);
    m_Waiting[New.m_Gateway].push_back(m_All.size() - 1);
  }

  // Reports that are older than the delay replace what is known.
  void deliverReports() {
    for (std::size_t G = 0; G < m_Options.m_Gateways; ++G) {
      while (m_NextReport[G] <= m_Now) {
        m_InTransit[G].push_back(
            {m_NextReport[G] + m_Options.m_ReportDelayMs, m_Own[G]});
        m_NextReport[G] += m_ReportIntervalMs;
      }
      while (!m_InTransit[G].empty() && m_InTransit[G].front().first <= m_Now) {
        m_Reported[G] = std::move(m_InTransit[G].front().second);
        m_InTransit[G].pop_front();
      }
    }
  }

  std::vector<ReplicaCandidate> candidates(std::size_t Gateway) const {
    std::vector<ReplicaCandidate> All(m_RankCount);
    for (std::size_t R = 0; R < m_RankCount; ++R) {
      ReplicaCandidate &Each = All[R];
      Each.m_BackendServer = R + 1;
      Each.m_OutstandingRequests = m_Own[Gateway][R].m_Requests;
      Each.m_OutstandingTokens = m_Own[Gateway][R].m_Tokens;
      Each.m_PendingPromptTokens = m_Own[Gateway][R].m_Pending;
      Each.m_OtherEntriesRequests = 0;
      for (std::size_t G = 0; G < m_Options.m_Gateways; ++G)
        if (G != Gateway) {
          *Each.m_OtherEntriesRequests += m_Reported[G][R].m_Requests;
          Each.m_PendingPromptTokens += m_Reported[G][R].m_Pending;
        }
      Each.m_Full =
          isFull(Each, Slots, static_cast<std::uint32_t>(m_Options.m_Gateways));
    }
    return All;
  }

  void holdLong(std::vector<ReplicaCandidate> &From,
                const Request &Each) const {
    if (m_Options.m_MaxGroupTokens == 0 || !Each.m_IsLong ||
        m_Now - Each.m_ArrivedMs > MaxHoldMs)
      return;
    for (std::size_t G = 0; G < m_Options.m_Groups; ++G) {
      std::uint64_t Sum = 0;
      const std::size_t Begin = G * m_Options.m_RanksPerGroup;
      const std::size_t End = Begin + m_Options.m_RanksPerGroup;
      for (std::size_t R = Begin; R < End; ++R)
        Sum += From[R].m_PendingPromptTokens;
      if (Sum > m_Options.m_MaxGroupTokens)
        for (std::size_t R = Begin; R < End; ++R)
          From[R].m_Full = true;
    }
  }

  bool dispatch(std::size_t Number) {
    Request &Each = m_All[Number];
    std::vector<ReplicaCandidate> From = candidates(Each.m_Gateway);
    holdLong(From, Each);
    ReplicaChoiceOptions Options;
    if (m_Options.m_Choice != RankChoice::Score)
      Options.m_PrefillTokensPerPass = TokensPerPass;
    if (m_Options.m_Choice == RankChoice::AllRanks)
      Options.m_Gateway = {0, 1};
    if (m_Options.m_Choice == RankChoice::Parts)
      Options.m_Gateway = {Each.m_Gateway, m_Options.m_Gateways};
    RoutedRequest Routed;
    Routed.m_PrefixTokens = Each.m_PromptTokens;
    Routed.m_EstimatedTokens = Each.m_PromptTokens + Each.m_Output;
    const auto Chosen =
        chooseReplica(From, Routed, Options, m_Choice, m_Random);
    if (!Chosen)
      return false;
    Each.m_Rank = *Chosen;
    Counts &Own = m_Own[Each.m_Gateway][Each.m_Rank];
    ++Own.m_Requests;
    Own.m_Tokens += Each.m_PromptTokens + Each.m_Output;
    Own.m_Pending += Each.m_PromptTokens;
    m_Ranks[Each.m_Rank].m_Requests.push_back(Number);
    return true;
  }

  void dispatchAll() {
    for (auto &Queue : m_Waiting) {
      std::erase_if(Queue, [&](std::size_t Number) {
        Request &Each = m_All[Number];
        if (m_Now - Each.m_ArrivedMs <= DisconnectMs)
          return false;
        PromptResult &Result = resultOf(Each);
        ++Result.m_Requests;
        ++Result.m_LateStarts;
        ++Result.m_Late;
        ++Result.m_Lost;
        return true;
      });
      bool ShortBlocked = false;
      std::erase_if(Queue, [&](std::size_t Number) {
        if (ShortBlocked)
          return false;
        const bool Sent = dispatch(Number);
        ShortBlocked = !Sent && (!m_All[Number].m_IsLong ||
                                 m_Options.m_MaxGroupTokens == 0);
        return Sent;
      });
    }
  }

  void beginPass(std::size_t Index) {
    const std::size_t Begin = Index * m_Options.m_RanksPerGroup;
    double Sum = 0.0;
    double Max = 0.0;
    bool HasWork = false;
    for (std::size_t R = Begin; R < Begin + m_Options.m_RanksPerGroup; ++R) {
      double Work = 0.0;
      std::uint64_t Budget = TokensPerPass;
      std::uint32_t Used = 0;
      for (const std::size_t Number : m_Ranks[R].m_Requests) {
        if (++Used > Slots)
          break;
        HasWork = true;
        Request &Each = m_All[Number];
        if (Each.m_UnreadTokens == 0) {
          Work += StepsPerPass *
                  (StepMsPerRequest +
                   StepMsPer1000Context * Each.m_PromptTokens / 1000.0);
          continue;
        }
        const auto Read = static_cast<std::uint32_t>(
            std::min<std::uint64_t>(Budget, Each.m_UnreadTokens));
        const double Before = Each.m_PromptTokens - Each.m_UnreadTokens;
        Work += Read / TokensPerMs +
                MsPerMillionPairs * Read * (Before + Read / 2.0) / 1e6;
        Each.m_UnreadTokens -= Read;
        Budget -= Read;
      }
      Sum += Work;
      Max = std::max(Max, Work);
    }
    if (!HasWork)
      return;
    const double PassMs = StepMs * StepsPerPass + (1.0 - ExpertShare) * Max +
                          ExpertShare * ExpertSkew * Sum /
                              static_cast<double>(m_Options.m_RanksPerGroup);
    m_Groups[Index] = {true, m_Now + PassMs};
    m_Result.m_MaxPassMs = std::max(m_Result.m_MaxPassMs, PassMs);
    // Requests that arrive during the pass are not part of it.
    for (std::size_t R = Begin; R < Begin + m_Options.m_RanksPerGroup; ++R) {
      std::uint32_t Used = 0;
      for (const std::size_t Number : m_Ranks[R].m_Requests) {
        if (++Used > Slots)
          break;
        Request &Each = m_All[Number];
        if (Each.m_UnreadTokens > 0)
          continue;
        Each.m_HasLateGap |= Each.m_HasBegun && PassMs > GapTargetMs;
        m_InPass.push_back(Number);
      }
    }
    m_PassRequests.resize(m_Options.m_Groups);
    m_PassRequests[Index] = std::move(m_InPass);
    m_InPass.clear();
  }

  void endPass(std::size_t Index) {
    m_Groups[Index].m_Runs = false;
    for (const std::size_t Number : m_PassRequests[Index]) {
      Request &Each = m_All[Number];
      Counts &Own = m_Own[Each.m_Gateway][Each.m_Rank];
      if (!Each.m_HasBegun) {
        Each.m_HasBegun = true;
        Each.m_FirstEventMs = m_Now - Each.m_ArrivedMs;
        Own.m_Pending -= Each.m_PromptTokens;
      }
      if (--Each.m_EventsLeft > 0)
        continue;
      --Own.m_Requests;
      Own.m_Tokens -= Each.m_PromptTokens + Each.m_Output;
      std::erase(m_Ranks[Each.m_Rank].m_Requests, Number);
      record(Each);
    }
    m_PassRequests[Index].clear();
  }

  void record(const Request &Each) {
    PromptResult &Result = resultOf(Each);
    const bool LateStart = Each.m_FirstEventMs > TargetMs;
    ++Result.m_Requests;
    Result.m_LateStarts += LateStart ? 1 : 0;
    Result.m_LateGaps += Each.m_HasLateGap ? 1 : 0;
    Result.m_Late += LateStart || Each.m_HasLateGap ? 1 : 0;
    Result.m_FirstEventMs.push_back(Each.m_FirstEventMs);
  }

  const PrefillModelOptions &m_Options;
  Random m_Random;
  ReplicaChoiceState m_Choice;
  const std::size_t m_RankCount;
  double m_Now = 0.0;
  double m_ReportIntervalMs = 0.0;
  std::vector<Request> m_All;
  std::vector<Rank> m_Ranks;
  std::vector<Group> m_Groups;
  std::vector<std::vector<std::size_t>> m_PassRequests;
  std::vector<std::size_t> m_InPass;
  // By gateway and rank.
  std::vector<std::vector<Counts>> m_Own;
  std::vector<std::vector<Counts>> m_Reported;
  std::vector<std::deque<std::pair<double, std::vector<Counts>>>> m_InTransit;
  std::vector<std::deque<std::size_t>> m_Waiting;
  std::vector<double> m_NextReport;
  PrefillModelResult m_Result;
};

} // namespace

double PromptResult::lateFraction() const {
  return m_Requests == 0
             ? 0.0
             : static_cast<double>(m_Late) / static_cast<double>(m_Requests);
}

double PromptResult::firstEventP99() const {
  if (m_FirstEventMs.empty())
    return 0.0;
  std::vector<double> Times = m_FirstEventMs;
  const auto At =
      Times.begin() + static_cast<std::ptrdiff_t>(Times.size() * 99 / 100);
  std::nth_element(Times.begin(), At, Times.end());
  return *At;
}

PrefillModelResult runPrefillModel(const PrefillModelOptions &Options) {
  return Model(Options).run();
}

PrefillModelResult runSeeds(PrefillModelOptions Options, std::uint64_t Seeds) {
  PrefillModelResult Sum;
  const auto Add = [](PromptResult &To, const PromptResult &From) {
    To.m_Requests += From.m_Requests;
    To.m_LateStarts += From.m_LateStarts;
    To.m_LateGaps += From.m_LateGaps;
    To.m_Late += From.m_Late;
    To.m_Lost += From.m_Lost;
    To.m_FirstEventMs.insert(To.m_FirstEventMs.end(),
                             From.m_FirstEventMs.begin(),
                             From.m_FirstEventMs.end());
  };
  for (Options.m_Seed = 1; Options.m_Seed <= Seeds; ++Options.m_Seed) {
    const PrefillModelResult Each = runPrefillModel(Options);
    Add(Sum.m_Short, Each.m_Short);
    Add(Sum.m_Long, Each.m_Long);
    Sum.m_MaxPassMs = std::max(Sum.m_MaxPassMs, Each.m_MaxPassMs);
  }
  return Sum;
}

} // namespace mangocart
