// Shares of topics over time, and the experts that each topic uses.
#include "PopularityModel.h"

#include "Loads.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace mangocart::test {

namespace {

constexpr double HoursPerDay = 24;
// Standard deviation of the logarithm of an expert's popularity: common to all
// topics, and per topic.
constexpr double CommonSpread = 0.4;
constexpr double TopicSpread = 0.9;
// Amplitude of the logarithm of a topic's share.
constexpr double DayAmplitude = 0.9;
constexpr double SeasonAmplitude = 2.0;
// Lowest token rate of the day as a fraction of the busiest hour's.
constexpr double NightFraction = 0.4;

double hours(Duration Time) {
  return std::chrono::duration<double, std::ratio<3600>>(Time).count();
}

double dayWave(double Hour, double Busiest) {
  return std::cos(2 * std::numbers::pi * (Hour - Busiest) / HoursPerDay);
}

} // namespace

PopularityModel::PopularityModel(const GroupShape &Shape, std::uint64_t Seed,
                                 const PopularityOptions &Options)
    : m_Shape(Shape), m_Seed(Seed), m_Options(Options) {
  Random Generator(Seed);
  const std::size_t Experts = loadIndex(Shape, Shape.m_Layers, 0);
  std::vector<double> Common(Experts);
  for (double &Value : Common)
    Value = std::exp(CommonSpread * sampleNormal(Generator));
  for (std::uint32_t I = 0; I < Options.m_Topics; ++I) {
    Topic T;
    T.m_Weight = std::exp(0.5 * sampleNormal(Generator));
    T.m_BusiestHour = HoursPerDay * uniformReal(Generator);
    T.m_SeasonPosition = uniformReal(Generator);
    T.m_Affinity.resize(Experts);
    for (std::uint32_t Layer = 0; Layer < Shape.m_Layers; ++Layer) {
      double Sum = 0;
      const std::size_t Begin = loadIndex(Shape, Layer, 0);
      for (std::size_t E = Begin; E < Begin + Shape.m_Experts; ++E) {
        T.m_Affinity[E] =
            Common[E] * std::exp(TopicSpread * sampleNormal(Generator));
        Sum += T.m_Affinity[E];
      }
      for (std::size_t E = Begin; E < Begin + Shape.m_Experts; ++E)
        T.m_Affinity[E] /= Sum;
    }
    m_Topics.push_back(std::move(T));
  }
}

std::vector<double> PopularityModel::topicShares(Duration Time) const {
  const double Hour = hours(Time);
  const double Season =
      std::min(1.0, Hour / std::max(1.0, hours(m_Options.m_Season)));
  const bool IsSpike =
      Time >= m_Options.m_SpikeStart &&
      Time < m_Options.m_SpikeStart + m_Options.m_SpikeDuration;
  std::vector<double> Shares;
  double Sum = 0;
  for (const Topic &T : m_Topics) {
    double Share =
        T.m_Weight *
        std::exp(DayAmplitude * dayWave(Hour, T.m_BusiestHour) -
                 SeasonAmplitude * std::abs(Season - T.m_SeasonPosition));
    if (IsSpike && Shares.empty())
      Share *= m_Options.m_SpikeFactor;
    Shares.push_back(Share);
    Sum += Share;
  }
  for (double &Share : Shares)
    Share /= Sum;
  return Shares;
}

ExpertLoad PopularityModel::expectedLoad(Duration Time) const {
  constexpr double BusiestHour = 14;
  const double Activity =
      NightFraction +
      (1 - NightFraction) * (1 + dayWave(hours(Time), BusiestHour)) / 2;
  const double Tokens = m_Options.m_TokensPerRank * m_Shape.m_Ranks * Activity;
  const std::vector<double> Shares = topicShares(Time);
  ExpertLoad Load;
  Load.m_Tokens.assign(m_Topics.front().m_Affinity.size(), 0);
  for (std::size_t T = 0; T < m_Topics.size(); ++T)
    for (std::size_t E = 0; E < Load.m_Tokens.size(); ++E)
      Load.m_Tokens[E] += Tokens * Shares[T] * m_Topics[T].m_Affinity[E];
  return Load;
}

ExpertLoad PopularityModel::stepLoad(Duration Time) const {
  Random Generator(m_Seed ^ static_cast<std::uint64_t>(Time.count()));
  ExpertLoad Load = expectedLoad(Time);
  for (double &Tokens : Load.m_Tokens)
    Tokens =
        std::max(0.0, Tokens + std::sqrt(Tokens) * sampleNormal(Generator));
  return Load;
}

} // namespace mangocart::test
