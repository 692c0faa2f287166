// Weighs what a change of the expert map costs against what it saves, with the
// weights that the deployment's answer weighs_more gives.
#ifndef MANGOCART_EXPERTS_MOVEGATE_H
#define MANGOCART_EXPERTS_MOVEGATE_H

#include <cstdint>

namespace mangocart {

struct MoveGate {
  // Configuration.step_skew_weight and .rebalancing_cost_weight.
  double m_StepSkewWeight = 0.5;
  double m_RebalancingCostWeight = 0.5;
  // Time that a rank takes for one token of one expert, in seconds.
  double m_SecondsPerToken = 0.25e-6;
  // Steps for which a gain is expected to last.
  double m_HorizonSteps = 200'000;
  // One expert's weights of one layer at the weight store's rate, in seconds.
  double m_SecondsPerWeights = 0.02;
  // Seconds of the group's steps that one second of the weight store is worth:
  // other groups wait for it, and loading takes memory bandwidth of the rank.
  double m_StoreSecondPrice = 1.0;

  bool operator==(const MoveGate &) const = default;
};

// A change of the slowest ranks' tokens a step, and the weights that it moves.
struct MoveTrade {
  double m_TokensSaved = 0;
  std::uint64_t m_Weights = 0;

  bool operator==(const MoveTrade &) const = default;
};

// Seconds of steps that the change saves over the horizon.
double savedSeconds(const MoveGate &Gate, const MoveTrade &Trade);
// Seconds that the weight store takes for it.
double storeSeconds(const MoveGate &Gate, const MoveTrade &Trade);
// The weighed gain is above the weighed cost.
bool isWorthwhile(const MoveGate &Gate, const MoveTrade &Trade);

} // namespace mangocart

#endif
