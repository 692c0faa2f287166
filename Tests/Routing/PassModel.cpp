#include "PassModel.h"

#include "Core/Random.h"

#include <algorithm>
#include <deque>

namespace mangocart {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t Passes = 23;
constexpr double GapTargetMs = 120.0;
constexpr Duration FirstTarget = milliseconds(400);
// A waiting request is rejected when its first event would be late.
constexpr Duration MaxWait = milliseconds(250);

struct Stream {
  std::size_t m_Gateway = 0;
  TimePoint m_Arrived;
  TimePoint m_LastEvent;
  double m_PromptTokens = 0.0;
  double m_Context = 0.0;
  std::uint32_t m_EventsLeft = Passes;
  bool m_Prefilled = false;
  bool m_FirstOnTime = false;
  bool m_GapsOnTime = true;
};

struct Rank {
  // In order of arrival; those within the slots run.
  std::vector<Stream> m_Streams;
};

struct Group {
  std::vector<Rank> m_Ranks;
  TimePoint m_PassEnd;
  bool m_Running = false;
};

using Counts = std::vector<std::vector<std::uint32_t>>;

struct Gateway {
  GroupCapacity m_Capacity;
  // Own requests by group and rank.
  Counts m_Own;
  // Own requests of the last m_CountAge, oldest first.
  std::deque<Counts> m_Reports;
  std::deque<Stream> m_Waiting;
};

void report(std::deque<Counts> &Reports, const Counts &Now, std::size_t Steps) {
  Reports.push_back(Now);
  if (Reports.size() > Steps)
    Reports.pop_front();
}

class Model {
public:
  explicit Model(const PassModelSetup &Setup) : m_Setup(Setup) {
    m_Arrivals.seed(Setup.m_Seed);
    m_Random.seed(Setup.m_Seed);
    m_Groups.resize(Setup.m_Groups);
    for (Group &Each : m_Groups)
      Each.m_Ranks.resize(Setup.m_Ranks);
    const Counts Empty(Setup.m_Groups,
                       std::vector<std::uint32_t>(Setup.m_Ranks));
    for (std::uint32_t I = 0; I < Setup.m_Gateways; ++I)
      m_Gateways.push_back({{Setup.m_Options, {}}, Empty, {}, {}});
    m_All = Empty;
  }

  PassModelResult run() {
    const TimePoint Begin(std::chrono::hours(1));
    for (m_Now = Begin; m_Now < Begin + m_Setup.m_Length;
         m_Now += milliseconds(1)) {
      if (m_Setup.m_CountAge) {
        report(m_Reports, m_All, reportSteps());
        for (Gateway &Each : m_Gateways)
          report(Each.m_Reports, Each.m_Own, reportSteps());
      }
      arrive(m_Setup.m_Rate(m_Now - Begin) / 1e3);
      for (std::size_t I = 0; I < m_Gateways.size(); ++I)
        dispatch(I);
      for (std::size_t I = 0; I < m_Groups.size(); ++I)
        advance(I);
    }
    m_Result.m_MeanPassMs /= std::max(1.0, static_cast<double>(m_PassCount));
    return m_Result;
  }

private:
  std::size_t reportSteps() const {
    return static_cast<std::size_t>(*m_Setup.m_CountAge / milliseconds(1));
  }

  void arrive(double Expected) {
    while (uniformReal(m_Arrivals) < Expected) {
      Expected -= 1.0;
      Stream New;
      New.m_Gateway = uniform(m_Arrivals, 0, m_Setup.m_UsedGateways - 1);
      New.m_Arrived = m_Now;
      New.m_PromptTokens = m_Setup.m_True.m_MeanPromptTokens *
                           (0.4 + 1.2 * uniformReal(m_Arrivals));
      m_Gateways[New.m_Gateway].m_Waiting.push_back(New);
      ++m_Result.m_Arrived;
    }
  }

  // Requests that a gateway counts at a rank.
  std::uint32_t known(const Gateway &Of, std::size_t Group,
                      std::size_t Rank) const {
    const std::uint32_t Own = Of.m_Own[Group][Rank];
    if (!m_Setup.m_CountAge)
      return Own;
    return Own + m_Reports.front()[Group][Rank] -
           Of.m_Reports.front()[Group][Rank];
  }

  GroupLoad loadOf(const Gateway &Of, std::size_t Group) const {
    static const std::string Names[] = {"g0", "g1", "g2", "g3"};
    GroupLoad Load;
    Load.m_Group = Names[Group];
    Load.m_Ranks = m_Setup.m_Ranks;
    Load.m_Slots = m_Setup.m_Ranks * m_Setup.m_SlotsPerRank;
    for (std::size_t I = 0; I < m_Setup.m_Ranks; ++I) {
      Load.m_Requests += known(Of, Group, I);
      Load.m_OwnRequests += Of.m_Own[Group][I];
    }
    return Load;
  }

  GatewayCounts counts() const {
    return {m_Setup.m_Gateways, m_Setup.m_CountAge.has_value()};
  }

  void dispatch(std::size_t Index) {
    Gateway &Own = m_Gateways[Index];
    while (!Own.m_Waiting.empty()) {
      const auto To = choose(Own);
      if (To) {
        ++Own.m_Own[To->first][To->second];
        ++m_All[To->first][To->second];
        recordGroupStart(Own.m_Capacity, loadOf(Own, To->first).m_Group, m_Now);
        m_Groups[To->first].m_Ranks[To->second].m_Streams.push_back(
            Own.m_Waiting.front());
      } else if (m_Now - Own.m_Waiting.front().m_Arrived < MaxWait) {
        return;
      } else {
        ++m_Result.m_Rejected;
      }
      Own.m_Waiting.pop_front();
    }
  }

  std::optional<std::pair<std::size_t, std::size_t>> choose(Gateway &Own) {
    std::vector<std::size_t> All;
    std::vector<GroupLoad> Loads;
    for (std::size_t I = 0; I < m_Groups.size(); ++I) {
      All.push_back(I);
      Loads.push_back(loadOf(Own, I));
    }
    if (!m_Setup.m_LimitsPasses)
      return chooseRank(Own, All);
    const PassRules Rules{m_Setup.m_Declared, GapTargetMs};
    for (const auto &Each :
         preferredGroups(Own.m_Capacity, Rules, Loads, counts(), m_Now))
      if (const auto Found = chooseRank(Own, Each))
        return Found;
    return std::nullopt;
  }

  // The better of two ranks that have slots.
  std::optional<std::pair<std::size_t, std::size_t>>
  chooseRank(const Gateway &Own, const std::vector<std::size_t> &Groups) {
    std::vector<std::pair<std::size_t, std::size_t>> Free;
    for (const std::size_t Group : Groups)
      for (std::size_t I = 0; I < m_Setup.m_Ranks; ++I)
        if (hasSlot(Own, Group, I))
          Free.emplace_back(Group, I);
    if (Free.empty())
      return std::nullopt;
    const auto A = Free[uniform(m_Random, 0, Free.size() - 1)];
    const auto B = Free[uniform(m_Random, 0, Free.size() - 1)];
    return known(Own, A.first, A.second) <= known(Own, B.first, B.second) ? A
                                                                          : B;
  }

  bool hasSlot(const Gateway &Own, std::size_t Group, std::size_t Rank) const {
    if (!m_Setup.m_CountAge)
      return Own.m_Own[Group][Rank] * m_Setup.m_Gateways <
             m_Setup.m_SlotsPerRank;
    return known(Own, Group, Rank) < m_Setup.m_SlotsPerRank;
  }

  void advance(std::size_t Index) {
    Group &Own = m_Groups[Index];
    if (Own.m_Running && m_Now < Own.m_PassEnd)
      return;
    if (Own.m_Running)
      endPass(Index);
    std::vector<RankWork> Work;
    bool HasWork = false;
    std::uint32_t Requests = 0;
    for (Rank &Each : Own.m_Ranks) {
      Work.push_back(beginPass(Each));
      HasWork = HasWork || !Each.m_Streams.empty();
      Requests += static_cast<std::uint32_t>(Each.m_Streams.size());
    }
    Own.m_Running = HasWork;
    if (!HasWork)
      return;
    double Ms =
        passMs(m_Setup.m_True, Work,
               m_Setup.m_ExpertSkew * (0.9 + 0.2 * uniformReal(m_Random)));
    if (Index == 0)
      Ms *= m_Setup.m_SlowFactor;
    Own.m_PassEnd = m_Now + std::chrono::duration_cast<Duration>(
                                std::chrono::duration<double, std::milli>(Ms));
    m_Result.m_LargestGroup = std::max(m_Result.m_LargestGroup, Requests);
    m_Result.m_MeanPassMs += Ms;
    ++m_PassCount;
  }

  // Prefills prompts in the order of arrival.
  RankWork beginPass(Rank &Own) const {
    RankWork Work;
    double Left = m_Setup.m_True.m_MaxPrefillTokensPerStep *
                  static_cast<double>(m_Setup.m_True.m_StepsPerPass);
    const std::size_t Running =
        std::min<std::size_t>(Own.m_Streams.size(), m_Setup.m_SlotsPerRank);
    for (std::size_t I = 0; I < Running; ++I) {
      Stream &Each = Own.m_Streams[I];
      if (Each.m_Prefilled) {
        ++Work.m_RunningRequests;
        Work.m_ContextTokens += Each.m_Context;
        continue;
      }
      const double Tokens =
          std::min(Left, Each.m_PromptTokens - Each.m_Context);
      Left -= Tokens;
      Work.m_PromptTokens += Tokens;
      Work.m_PromptPairs += Tokens * (Each.m_Context + Tokens / 2.0);
      Each.m_Context += Tokens;
    }
    return Work;
  }

  void endPass(std::size_t Index) {
    for (std::size_t At = 0; At < m_Setup.m_Ranks; ++At) {
      std::vector<Stream> &Streams = m_Groups[Index].m_Ranks[At].m_Streams;
      for (std::size_t I = 0; I < Streams.size(); ++I)
        if (Streams[I].m_Context >= Streams[I].m_PromptTokens)
          event(Streams[I], Index);
      std::erase_if(Streams, [&](const Stream &Each) {
        if (Each.m_EventsLeft == 0) {
          --m_Gateways[Each.m_Gateway].m_Own[Index][At];
          --m_All[Index][At];
          recordGroupEnd(m_Gateways[Each.m_Gateway].m_Capacity,
                         loadOf(m_Gateways[Each.m_Gateway], Index).m_Group,
                         m_Now);
        }
        return Each.m_EventsLeft == 0;
      });
    }
  }

  void event(Stream &Of, std::size_t Index) {
    Of.m_Context += m_Setup.m_True.m_StepsPerPass;
    --Of.m_EventsLeft;
    if (!std::exchange(Of.m_Prefilled, true)) {
      Of.m_FirstOnTime = m_Now - Of.m_Arrived <= FirstTarget;
    } else {
      Gateway &Own = m_Gateways[Of.m_Gateway];
      const Duration Gap = m_Now - Of.m_LastEvent;
      Of.m_GapsOnTime =
          Of.m_GapsOnTime &&
          Gap <= std::chrono::duration<double, std::milli>(GapTargetMs);
      const GroupLoad Load = loadOf(Own, Index);
      recordGap(
          Own.m_Capacity, Load.m_Group, Gap,
          [&] { return estimatedRequests(Load, counts()); }, m_Now);
    }
    Of.m_LastEvent = m_Now;
    if (Of.m_EventsLeft > 0)
      return;
    ++m_Result.m_Served;
    m_Result.m_ServedByFirstGroup += Index == 0 ? 1 : 0;
    m_Result.m_FirstOnTime += Of.m_FirstOnTime ? 1 : 0;
    m_Result.m_GapsOnTime += Of.m_GapsOnTime ? 1 : 0;
    m_Result.m_OnTime += Of.m_FirstOnTime && Of.m_GapsOnTime ? 1 : 0;
  }

  const PassModelSetup &m_Setup;
  // Arrivals don't depend on the choices.
  Random m_Arrivals;
  Random m_Random;
  TimePoint m_Now;
  std::vector<Group> m_Groups;
  std::vector<Gateway> m_Gateways;
  // Requests by group and rank, and those of the last m_CountAge.
  Counts m_All;
  std::deque<Counts> m_Reports;
  PassModelResult m_Result;
  std::uint64_t m_PassCount = 0;
};

} // namespace

PassModelResult runPassModel(const PassModelSetup &Setup) {
  return Model(Setup).run();
}

PassFigures tracedFigures() {
  PassFigures Figures;
  Figures.m_StepMs = 5.85;
  Figures.m_StepMsPerRequest = 0.426;
  Figures.m_StepMsPer1000ContextTokens = 0.036;
  Figures.m_StepsPerPass = 6;
  Figures.m_PrefillTokensPerSecond = 61200.0;
  Figures.m_PrefillMsPerMillionPairs = 0.325;
  Figures.m_MaxPrefillTokensPerStep = 512;
  Figures.m_ExpertWorkShare = 0.85;
  Figures.m_MeanPromptTokens = 835.0;
  Figures.m_MeanOutputTokens = 138.0;
  return Figures;
}

} // namespace mangocart
