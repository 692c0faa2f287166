// Computes the next expert map for a load: unchanged, fully recomputed, or by
// incremental moves that must pass the cost model. Each layer is placed
// independently.
#ifndef MANGOCART_EXPERTS_PLACEMENT_H
#define MANGOCART_EXPERTS_PLACEMENT_H

#include "Experts/ExpertMap.h"
#include "Experts/MoveCostModel.h"

#include <cstdint>

namespace mangocart {

enum class PlacementPolicy : std::uint8_t { None, Full, Incremental };

struct PlacementOptions {
  PlacementPolicy m_Policy = PlacementPolicy::Incremental;
  MoveCostModel m_CostModel;
  // Full: a rank that already holds the expert is preferred while its load
  // exceeds the lowest one by at most this fraction of the mean rank load; 0:
  // no preference.
  double m_AffinityFraction = 0;
  // Incremental: a layer whose slowest rank exceeds the mean by at most this
  // fraction is left unchanged.
  double m_ImbalanceTolerance = 0.02;
  // Incremental: number of ranks with the lowest load tried as the target of a
  // move.
  std::uint32_t m_CandidateRanks = 16;
  // Incremental: if the slowest rank of a layer exceeds the mean by more than
  // this fraction after the moves, a recomputation with affinity is considered,
  // under the same cost model.
  double m_RecomputeThreshold = 0.05;
  double m_RecomputeAffinityFraction = 0.05;
  // Incremental: maximum number of expert weights that one decision may move;
  // 0: no limit.
  std::uint64_t m_MaxWeights = 0;
  // Incremental: maximum number of new experts per rank and layer; 0: no limit.
  // With a limit, layers are never recomputed.
  std::uint32_t m_MaxNewPerRankLayer = 0;
  // Incremental: maximum number of new experts per rank over all layers; 0: no
  // limit.
  std::uint32_t m_MaxNewPerRank = 0;

  bool operator==(const PlacementOptions &) const = default;
};

struct PlacementDecision {
  ExpertMap m_Map;
  // Difference between the previous map and m_Map.
  MoveImpact m_Impact;

  bool operator==(const PlacementDecision &) const = default;
};

// The current map must satisfy its invariants, and the load must match its
// shape.
PlacementDecision place(const ExpertMap &Current, const ExpertLoad &Load,
                        const RankSlowness &Slowness,
                        const PlacementOptions &Options);

// Adds replicas for the experts with the largest share, then assigns by longest
// processing time first.
ExpertMap placeFully(const ExpertMap &Current, const ExpertLoad &Load,
                     const RankSlowness &Slowness, double AffinityFraction);

// Same for one layer of Next, whose slots must be empty.
void placeLayerFully(const ExpertMap &Current, ExpertMap &Next,
                     std::uint32_t Layer, const ExpertLoad &Load,
                     const RankSlowness &Slowness, double AffinityFraction);

// Moves experts off the slowest ranks, in chunks that each pass the cost model.
// Where no move helps, the layer is recomputed if that passes the model, too.
// The slowest rank of a layer never becomes slower.
ExpertMap placeIncrementally(const ExpertMap &Current, const ExpertLoad &Load,
                             const RankSlowness &Slowness,
                             const PlacementOptions &Options);

} // namespace mangocart

#endif
