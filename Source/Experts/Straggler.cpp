// Fit of step times over load, and the verdict on each rank.
#include "Experts/Straggler.h"

#include <algorithm>
#include <numeric>

namespace mangocart {

namespace {

double median(std::vector<double> Values) {
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

// Seconds = m_Base + m_PerToken * tokens.
struct Line {
  double m_Base = 0;
  double m_PerToken = 0;

  double at(double Tokens) const { return m_Base + m_PerToken * Tokens; }
};

// Mean load and time of one rank, and the slope over its own steps. A rank that
// is slow in all of them shifts its mean, but its slope by no more than its
// slowness.
struct RankFit {
  RankReading m_Mean;
  double m_PerToken = 0;
};

RankFit fitRank(const StragglerWindow &Window, std::size_t Rank) {
  const auto Steps = static_cast<double>(Window.m_Steps.size());
  RankFit Result;
  for (const std::vector<RankReading> &Step : Window.m_Steps) {
    Result.m_Mean.m_Tokens += Step[Rank].m_Tokens / Steps;
    Result.m_Mean.m_Seconds += Step[Rank].m_Seconds / Steps;
  }
  double Spread = 0;
  double Products = 0;
  for (const std::vector<RankReading> &Step : Window.m_Steps) {
    const double Tokens = Step[Rank].m_Tokens - Result.m_Mean.m_Tokens;
    Spread += Tokens * Tokens;
    Products += Tokens * (Step[Rank].m_Seconds - Result.m_Mean.m_Seconds);
  }
  if (Spread > 0)
    Result.m_PerToken = std::max(0.0, Products / Spread);
  return Result;
}

// Medians over the ranks; few ranks far off don't move them.
Line fitRoughly(const StragglerWindow &Window) {
  std::vector<RankFit> Fits;
  std::vector<double> Slopes;
  for (std::size_t Rank = 0; Rank < Window.m_Steps.back().size(); ++Rank) {
    Fits.push_back(fitRank(Window, Rank));
    Slopes.push_back(Fits.back().m_PerToken);
  }
  Line Result;
  Result.m_PerToken = median(Slopes);
  std::vector<double> Rests;
  Rests.reserve(Fits.size());
  for (const RankFit &Fit : Fits)
    Rests.push_back(Fit.m_Mean.m_Seconds -
                    Result.m_PerToken * Fit.m_Mean.m_Tokens);
  Result.m_Base = median(Rests);
  return Result;
}

// Least squares over the readings that lie near the line already.
Line refine(const std::vector<RankReading> &Readings, const Line &Rough,
            double LargestRatio) {
  double Count = 0;
  double Tokens = 0;
  double Seconds = 0;
  double Squares = 0;
  double Products = 0;
  for (const RankReading &R : Readings) {
    const double Expected = Rough.at(R.m_Tokens);
    if (R.m_Seconds > Expected * LargestRatio ||
        R.m_Seconds * LargestRatio < Expected)
      continue;
    Count += 1;
    Tokens += R.m_Tokens;
    Seconds += R.m_Seconds;
    Squares += R.m_Tokens * R.m_Tokens;
    Products += R.m_Tokens * R.m_Seconds;
  }
  const double Spread = Count * Squares - Tokens * Tokens;
  if (Spread <= 0)
    return Rough;
  Line Result;
  Result.m_PerToken =
      std::max(0.0, (Count * Products - Tokens * Seconds) / Spread);
  Result.m_Base = (Seconds - Result.m_PerToken * Tokens) / Count;
  return Result;
}

// All readings of the window: in a small group those of one step are too few.
Line fit(const StragglerWindow &Window, double LargestRatio) {
  constexpr int Rounds = 4;
  std::vector<RankReading> All;
  for (const std::vector<RankReading> &Step : Window.m_Steps)
    All.insert(All.end(), Step.begin(), Step.end());
  Line Result = fitRoughly(Window);
  for (int I = 0; I < Rounds; ++I)
    Result = refine(All, Result, LargestRatio);
  return Result;
}

// Time over what the load explains, by rank, for one step. What slows all
// ranks of the step alike is taken out.
std::vector<double> ratios(const std::vector<RankReading> &Ranks,
                           const Line &Expected) {
  std::vector<double> Result;
  for (const RankReading &R : Ranks) {
    const double Seconds = Expected.at(R.m_Tokens);
    Result.push_back(Seconds > 0 ? R.m_Seconds / Seconds : 1.0);
  }
  const double Common = median(Result);
  if (Common > 0)
    for (double &Ratio : Result)
      Ratio /= Common;
  return Result;
}

double meanTokens(const StragglerWindow &Window, std::size_t Rank) {
  double Sum = 0;
  for (const std::vector<RankReading> &Step : Window.m_Steps)
    Sum += Step[Rank].m_Tokens;
  return Sum / static_cast<double>(Window.m_Steps.size());
}

void markHotRanks(StragglerVerdict &Verdict, const StragglerWindow &Window,
                  const StragglerOptions &Options) {
  std::vector<double> Tokens;
  for (std::size_t Rank = 0; Rank < Verdict.m_Ranks.size(); ++Rank)
    Tokens.push_back(meanTokens(Window, Rank));
  const double Mean = std::accumulate(Tokens.begin(), Tokens.end(), 0.0) /
                      static_cast<double>(Tokens.size());
  for (std::size_t Rank = 0; Rank < Tokens.size(); ++Rank)
    if (Tokens[Rank] > Options.m_HotRatio * Mean)
      Verdict.m_Ranks[Rank] = RankVerdict::HotExperts;
}

} // namespace

void noteStep(StragglerWindow &Window, const StragglerOptions &Options,
              std::vector<RankReading> Ranks) {
  if (!Window.m_Steps.empty() && Window.m_Steps.back().size() != Ranks.size())
    forgetSteps(Window);
  Window.m_Steps.push_back(std::move(Ranks));
  while (Window.m_Steps.size() > Options.m_Window)
    Window.m_Steps.pop_front();
}

void forgetSteps(StragglerWindow &Window) { Window.m_Steps.clear(); }

StragglerVerdict judgeRanks(const StragglerWindow &Window,
                            const StragglerOptions &Options) {
  StragglerVerdict Verdict;
  if (Window.m_Steps.empty())
    return Verdict;
  const std::size_t Ranks = Window.m_Steps.back().size();
  Verdict.m_Ranks.assign(Ranks, RankVerdict::InLine);
  Verdict.m_Slowness.m_Factors.assign(Ranks, 1.0);
  if (Window.m_Steps.size() < Options.m_Window)
    return Verdict;
  markHotRanks(Verdict, Window, Options);
  const Line Expected = fit(Window, Options.m_SlowRatio);
  std::vector<std::vector<double>> ByRank(Ranks);
  for (const std::vector<RankReading> &Step : Window.m_Steps) {
    const std::vector<double> OfStep = ratios(Step, Expected);
    for (std::size_t Rank = 0; Rank < Ranks; ++Rank)
      ByRank[Rank].push_back(OfStep[Rank]);
  }
  std::vector<std::size_t> Slow;
  for (std::size_t Rank = 0; Rank < Ranks; ++Rank) {
    const auto Out = std::count_if(
        ByRank[Rank].begin(), ByRank[Rank].end(),
        [&](double Ratio) { return Ratio > Options.m_SlowRatio; });
    if (Out >= static_cast<std::ptrdiff_t>(Options.m_LeastSteps))
      Slow.push_back(Rank);
  }
  const double Most =
      std::max(1.0, Options.m_LargestPart * static_cast<double>(Ranks));
  if (static_cast<double>(Slow.size()) > Most)
    return Verdict;
  for (const std::size_t Rank : Slow) {
    const double Slowness = median(ByRank[Rank]);
    const bool CanRelieve = Slowness <= Options.m_LargestRelief;
    Verdict.m_Ranks[Rank] =
        CanRelieve ? RankVerdict::Relieve : RankVerdict::Report;
    if (CanRelieve)
      Verdict.m_Slowness.m_Factors[Rank] = Slowness;
  }
  return Verdict;
}

} // namespace mangocart
