// Cost of moves against their gain.
#include "Experts/MoveGate.h"

namespace mangocart {

double savedSeconds(const MoveGate &Gate, const MoveTrade &Trade) {
  return Trade.m_TokensSaved * Gate.m_SecondsPerToken * Gate.m_HorizonSteps;
}

double storeSeconds(const MoveGate &Gate, const MoveTrade &Trade) {
  return static_cast<double>(Trade.m_Weights) * Gate.m_SecondsPerWeights;
}

bool isWorthwhile(const MoveGate &Gate, const MoveTrade &Trade) {
  const double Gain = Gate.m_StepSkewWeight * savedSeconds(Gate, Trade);
  const double Cost = Gate.m_RebalancingCostWeight * Gate.m_StoreSecondPrice *
                      storeSeconds(Gate, Trade);
  return Gain > Cost;
}

} // namespace mangocart
