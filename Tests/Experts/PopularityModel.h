// Popularity of experts for the measurements: topics whose shares drift over
// the day and the season, and a sudden crowd for one of them. The same seed and
// time give the same load for every policy.
#ifndef MANGOCART_TESTS_EXPERTS_POPULARITYMODEL_H
#define MANGOCART_TESTS_EXPERTS_POPULARITYMODEL_H

#include "Core/Random.h"
#include "Core/RuntimeClock.h"
#include "Experts/ExpertMap.h"

#include <vector>

namespace mangocart::test {

struct PopularityOptions {
  std::uint32_t m_Topics = 6;
  // Tokens of one layer and step, at the busiest hour.
  double m_TokensPerRank = 2048;
  // The season goes from its first to its last topics in this time.
  Duration m_Season = std::chrono::hours(24 * 7);
  Duration m_CrowdFrom = std::chrono::hours(24 * 2 + 11);
  Duration m_CrowdTime = std::chrono::hours(3);
  // Share of the crowd's topic against its usual one.
  double m_CrowdRatio = 6;
};

class PopularityModel {
public:
  PopularityModel(const GroupShape &Shape, std::uint64_t Seed,
                  const PopularityOptions &Options);

  // Tokens that are expected in a step.
  ExpertLoad expectedLoad(Duration Time) const;
  // Tokens of one step: the expected ones with the chance of single steps.
  ExpertLoad stepLoad(Duration Time) const;

private:
  std::vector<double> topicShares(Duration Time) const;

  struct Topic {
    double m_Weight = 1;
    double m_BusiestHour = 0;
    // 0: of the season's start, 1: of its end.
    double m_SeasonPlace = 0;
    // By layer and expert; sums to 1 in each layer.
    std::vector<double> m_Affinity;
  };

  GroupShape m_Shape;
  std::uint64_t m_Seed;
  PopularityOptions m_Options;
  std::vector<Topic> m_Topics;
};

} // namespace mangocart::test

#endif
