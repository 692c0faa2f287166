// Costs and gains of expert moves.
#include "Experts/MoveCostModel.h"

namespace mangocart {

double savedSeconds(const MoveCostModel &Model, const MoveImpact &Impact) {
  return Impact.m_TokensSaved * Model.m_SecondsPerToken * Model.m_HorizonSteps;
}

double weightStoreSeconds(const MoveCostModel &Model,
                          const MoveImpact &Impact) {
  return static_cast<double>(Impact.m_Weights) * Model.m_LoadSecondsPerExpert;
}

bool isWorthwhile(const MoveCostModel &Model, const MoveImpact &Impact) {
  const double Gain = Model.m_StepSkewWeight * savedSeconds(Model, Impact);
  const double Cost = Model.m_RebalancingCostWeight * Model.m_StoreSecondCost *
                      weightStoreSeconds(Model, Impact);
  return Gain > Cost;
}

} // namespace mangocart
