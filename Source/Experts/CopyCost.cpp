// Converts copy times and occupancy into placement options.
#include "Experts/CopyCost.h"

#include <algorithm>

namespace mangocart {

namespace {

// Maximum copy time per rank and change, because passes are slower meanwhile
// and the load may shift before the map is active. It is shorter while the skew
// is high, because part of the gain early is worth more than all of it later.
constexpr Duration MaxCopyTime = std::chrono::milliseconds(500);
constexpr Duration MaxUrgentCopyTime = std::chrono::milliseconds(300);
constexpr double UrgentSkew = 1.6;
// Gain required per second of copying. Copying slows passes down, and faster
// passes are of little use while the group is lightly loaded. See
// docs/EXPERTS.md.
constexpr double GainPerSecondBusy = 0.028;
constexpr double GainPerSecondLight = 0.21;
constexpr double MinGainFull = 0.06;
constexpr double MinGainRelaxed = 0.25;
// A change holds the group for longer while orders get no answer.
constexpr double MinGainUnanswered = 0.1;
// Occupancy up to which each pass is far shorter than the time between two
// events, and occupancy from which the group is full.
constexpr double RelaxedOccupancy = 0.6;
constexpr double FullOccupancy = 0.9;
// Occupancy below which the group is lightly loaded, and from which it is busy.
constexpr double LightOccupancy = 0.35;
constexpr double BusyOccupancy = 0.75;

// Interpolates linearly between two occupancies and clamps outside of them.
double interpolate(double Occupancy, double Low, double High, double AtLow,
                   double AtHigh) {
  const double Fraction =
      std::clamp((Occupancy - Low) / (High - Low), 0.0, 1.0);
  return AtLow + Fraction * (AtHigh - AtLow);
}

} // namespace

double minSkewReduction(double Occupancy, bool HasRecentResends) {
  const double Gain = interpolate(Occupancy, RelaxedOccupancy, FullOccupancy,
                                  MinGainRelaxed, MinGainFull);
  return HasRecentResends ? std::max(Gain, MinGainUnanswered) : Gain;
}

double minGainPerCopy(Duration CopyTime, double Occupancy) {
  const double PerSecond = interpolate(Occupancy, LightOccupancy, BusyOccupancy,
                                       GainPerSecondLight, GainPerSecondBusy);
  return PerSecond * std::chrono::duration<double>(CopyTime).count();
}

PlacementOptions copyAwarePlacement(const CopyLimits &Limits,
                                    const StepLoad &CurrentLoad,
                                    double Occupancy) {
  PlacementOptions Options;
  // Gains and costs are fractions of the mean load of one pass.
  Options.m_CostModel.m_StepSkewWeight = 1.0;
  Options.m_CostModel.m_RebalancingCostWeight = 1.0;
  Options.m_CostModel.m_SecondsPerToken = 1.0 / CurrentLoad.m_Mean;
  Options.m_CostModel.m_HorizonSteps = 1.0;
  Options.m_CostModel.m_LoadSecondsPerExpert =
      minGainPerCopy(Limits.m_CopyTime, Occupancy);
  Options.m_CostModel.m_StoreSecondCost = 1.0;
  Options.m_MaxNewPerRankLayer = Limits.m_MaxNewPerLayer;
  const Duration Limit =
      CurrentLoad.skew() >= UrgentSkew ? MaxUrgentCopyTime : MaxCopyTime;
  if (Limits.m_CopyTime > Duration::zero())
    Options.m_MaxNewPerRank = static_cast<std::uint32_t>(
        std::max<std::int64_t>(1, Limit / Limits.m_CopyTime));
  return Options;
}

} // namespace mangocart
