// Cost model of expert moves: compares the cost of a map change with what it
// saves, using the weights from the deployment's setting weighs_more.
#ifndef MANGOCART_EXPERTS_MOVECOSTMODEL_H
#define MANGOCART_EXPERTS_MOVECOSTMODEL_H

#include <cstdint>

namespace mangocart {

struct MoveCostModel {
  // Configuration.step_skew_weight and .rebalancing_cost_weight.
  double m_StepSkewWeight = 0.5;
  double m_RebalancingCostWeight = 0.5;
  // Time in seconds that a rank takes for one token of one expert.
  double m_SecondsPerToken = 0.25e-6;
  // Number of steps for which a gain is expected to last.
  double m_HorizonSteps = 200'000;
  // Time in seconds to load one expert of one layer from the weight store.
  double m_LoadSecondsPerExpert = 0.02;
  // Seconds of the group's steps that offset one second of the weight store:
  // other groups wait for it, and loading uses memory bandwidth of the rank.
  double m_StoreSecondCost = 1.0;

  bool operator==(const MoveCostModel &) const = default;
};

// Tokens per step that a change removes from the slowest ranks, and the number
// of expert weights that it moves.
struct MoveImpact {
  double m_TokensSaved = 0;
  std::uint64_t m_Weights = 0;

  bool operator==(const MoveImpact &) const = default;
};

// Returns the step time in seconds that the change saves over the horizon.
double savedSeconds(const MoveCostModel &Model, const MoveImpact &Impact);
// Returns the time in seconds that the weight store needs for the change.
double weightStoreSeconds(const MoveCostModel &Model, const MoveImpact &Impact);
// Returns true if the weighted gain exceeds the weighted cost.
bool isWorthwhile(const MoveCostModel &Model, const MoveImpact &Impact);

} // namespace mangocart

#endif
