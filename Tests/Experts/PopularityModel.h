// Synthetic popularity of experts: topics whose shares drift over the day and
// the season, and a traffic spike for one of them. The same seed and time give
// the same load for every policy.
#ifndef MANGOCART_TESTS_EXPERTS_POPULARITYMODEL_H
#define MANGOCART_TESTS_EXPERTS_POPULARITYMODEL_H

#include "Core/Random.h"
#include "Core/RuntimeClock.h"
#include "Experts/ExpertMap.h"

#include <vector>

namespace mangocart::test {

struct PopularityOptions {
  std::uint32_t m_Topics = 6;
  // Tokens per layer and step at the busiest hour.
  double m_TokensPerRank = 2048;
  // Time in which the season moves from its first to its last topics.
  Duration m_Season = std::chrono::hours(24 * 7);
  Duration m_SpikeStart = std::chrono::hours(24 * 2 + 11);
  Duration m_SpikeDuration = std::chrono::hours(3);
  // Factor by which the spike multiplies the share of its topic.
  double m_SpikeFactor = 6;
};

class PopularityModel {
public:
  PopularityModel(const GroupShape &Shape, std::uint64_t Seed,
                  const PopularityOptions &Options);

  // Returns the expected tokens of a step.
  ExpertLoad expectedLoad(Duration Time) const;
  // Returns the tokens of one step: the expected ones with random variation.
  ExpertLoad stepLoad(Duration Time) const;

private:
  std::vector<double> topicShares(Duration Time) const;

  struct Topic {
    double m_Weight = 1;
    double m_BusiestHour = 0;
    // Position in the season; 0: start, 1: end.
    double m_SeasonPosition = 0;
    // Indexed by layer and expert; sums to 1 in each layer.
    std::vector<double> m_Affinity;
  };

  GroupShape m_Shape;
  std::uint64_t m_Seed;
  PopularityOptions m_Options;
  std::vector<Topic> m_Topics;
};

} // namespace mangocart::test

#endif
