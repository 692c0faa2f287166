// Fit of step times over load, and classification of the ranks.
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

// Mean load and time of one rank, and the slope over its own steps. Constant
// slowness of a rank shifts its mean, but changes its slope by no more than the
// slowness factor.
struct RankFit {
  RankSample m_Mean;
  double m_PerToken = 0;
};

RankFit fitRank(const StragglerWindow &Window, std::size_t Rank) {
  const auto Steps = static_cast<double>(Window.m_Steps.size());
  RankFit Result;
  for (const std::vector<RankSample> &Step : Window.m_Steps) {
    Result.m_Mean.m_Tokens += Step[Rank].m_Tokens / Steps;
    Result.m_Mean.m_Seconds += Step[Rank].m_Seconds / Steps;
  }
  double Spread = 0;
  double Products = 0;
  for (const std::vector<RankSample> &Step : Window.m_Steps) {
    const double Tokens = Step[Rank].m_Tokens - Result.m_Mean.m_Tokens;
    Spread += Tokens * Tokens;
    Products += Tokens * (Step[Rank].m_Seconds - Result.m_Mean.m_Seconds);
  }
  if (Spread > 0)
    Result.m_PerToken = std::max(0.0, Products / Spread);
  return Result;
}

// Fits medians over the ranks, which are insensitive to a few outliers.
Line fitMedians(const StragglerWindow &Window) {
  std::vector<RankFit> Fits;
  std::vector<double> Slopes;
  for (std::size_t Rank = 0; Rank < Window.m_Steps.back().size(); ++Rank) {
    Fits.push_back(fitRank(Window, Rank));
    Slopes.push_back(Fits.back().m_PerToken);
  }
  Line Result;
  Result.m_PerToken = median(Slopes);
  std::vector<double> Residuals;
  Residuals.reserve(Fits.size());
  for (const RankFit &Fit : Fits)
    Residuals.push_back(Fit.m_Mean.m_Seconds -
                        Result.m_PerToken * Fit.m_Mean.m_Tokens);
  Result.m_Base = median(Residuals);
  return Result;
}

// Least-squares fit over the samples near the initial line.
Line refine(const std::vector<RankSample> &Samples, const Line &Initial,
            double MaxRatio) {
  double Count = 0;
  double Tokens = 0;
  double Seconds = 0;
  double Squares = 0;
  double Products = 0;
  for (const RankSample &R : Samples) {
    const double Expected = Initial.at(R.m_Tokens);
    if (R.m_Seconds > Expected * MaxRatio || R.m_Seconds * MaxRatio < Expected)
      continue;
    Count += 1;
    Tokens += R.m_Tokens;
    Seconds += R.m_Seconds;
    Squares += R.m_Tokens * R.m_Tokens;
    Products += R.m_Tokens * R.m_Seconds;
  }
  const double Spread = Count * Squares - Tokens * Tokens;
  if (Spread <= 0)
    return Initial;
  Line Result;
  Result.m_PerToken =
      std::max(0.0, (Count * Products - Tokens * Seconds) / Spread);
  Result.m_Base = (Seconds - Result.m_PerToken * Tokens) / Count;
  return Result;
}

// Uses all samples of the window, because one step of a small group has too
// few.
Line fit(const StragglerWindow &Window, double MaxRatio) {
  constexpr int Rounds = 4;
  std::vector<RankSample> All;
  for (const std::vector<RankSample> &Step : Window.m_Steps)
    All.insert(All.end(), Step.begin(), Step.end());
  Line Result = fitMedians(Window);
  for (int I = 0; I < Rounds; ++I)
    Result = refine(All, Result, MaxRatio);
  return Result;
}

// Ratio of time to the time expected for the load, by rank, for one step. A
// slowdown common to all ranks of the step is divided out.
std::vector<double> ratios(const std::vector<RankSample> &Ranks,
                           const Line &Expected) {
  std::vector<double> Result;
  for (const RankSample &R : Ranks) {
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
  for (const std::vector<RankSample> &Step : Window.m_Steps)
    Sum += Step[Rank].m_Tokens;
  return Sum / static_cast<double>(Window.m_Steps.size());
}

void markHotRanks(RankClassification &Classification,
                  const StragglerWindow &Window,
                  const StragglerOptions &Options) {
  std::vector<double> Tokens;
  for (std::size_t Rank = 0; Rank < Classification.m_Ranks.size(); ++Rank)
    Tokens.push_back(meanTokens(Window, Rank));
  const double Mean = std::accumulate(Tokens.begin(), Tokens.end(), 0.0) /
                      static_cast<double>(Tokens.size());
  for (std::size_t Rank = 0; Rank < Tokens.size(); ++Rank)
    if (Tokens[Rank] > Options.m_HotRatio * Mean)
      Classification.m_Ranks[Rank] = RankClass::HotExperts;
}

} // namespace

void addStep(StragglerWindow &Window, const StragglerOptions &Options,
             std::vector<RankSample> Ranks) {
  if (!Window.m_Steps.empty() && Window.m_Steps.back().size() != Ranks.size())
    clearSteps(Window);
  Window.m_Steps.push_back(std::move(Ranks));
  while (Window.m_Steps.size() > Options.m_Window)
    Window.m_Steps.pop_front();
}

void clearSteps(StragglerWindow &Window) { Window.m_Steps.clear(); }

RankClassification classifyRanks(const StragglerWindow &Window,
                                 const StragglerOptions &Options) {
  RankClassification Classification;
  if (Window.m_Steps.empty())
    return Classification;
  const std::size_t Ranks = Window.m_Steps.back().size();
  Classification.m_Ranks.assign(Ranks, RankClass::Normal);
  Classification.m_Slowness.m_Factors.assign(Ranks, 1.0);
  if (Window.m_Steps.size() < Options.m_Window)
    return Classification;
  markHotRanks(Classification, Window, Options);
  const Line Expected = fit(Window, Options.m_SlowRatio);
  std::vector<std::vector<double>> ByRank(Ranks);
  for (const std::vector<RankSample> &Step : Window.m_Steps) {
    const std::vector<double> StepRatios = ratios(Step, Expected);
    for (std::size_t Rank = 0; Rank < Ranks; ++Rank)
      ByRank[Rank].push_back(StepRatios[Rank]);
  }
  std::vector<std::size_t> SlowRanks;
  for (std::size_t Rank = 0; Rank < Ranks; ++Rank) {
    const auto SlowSteps = std::count_if(
        ByRank[Rank].begin(), ByRank[Rank].end(),
        [&](double Ratio) { return Ratio > Options.m_SlowRatio; });
    if (SlowSteps >= static_cast<std::ptrdiff_t>(Options.m_MinSlowSteps))
      SlowRanks.push_back(Rank);
  }
  const double MaxSlow =
      std::max(1.0, Options.m_MaxSlowFraction * static_cast<double>(Ranks));
  if (static_cast<double>(SlowRanks.size()) > MaxSlow)
    return Classification;
  for (const std::size_t Rank : SlowRanks) {
    const double Slowness = median(ByRank[Rank]);
    const bool CanRelieve = Slowness <= Options.m_MaxRelievedSlowness;
    Classification.m_Ranks[Rank] =
        CanRelieve ? RankClass::Relieve : RankClass::Report;
    if (CanRelieve)
      Classification.m_Slowness.m_Factors[Rank] = Slowness;
  }
  return Classification;
}

} // namespace mangocart
