// Proposes the next expert map for a load: nothing, a full recomputation, or
// incremental moves behind a gate. Each layer is placed by itself.
#ifndef MANGOCART_EXPERTS_PLACEMENT_H
#define MANGOCART_EXPERTS_PLACEMENT_H

#include "Experts/ExpertMap.h"
#include "Experts/MoveGate.h"

#include <cstdint>

namespace mangocart {

enum class PlacementPolicy : std::uint8_t { None, Full, Incremental };

struct PlacementOptions {
  PlacementPolicy m_Policy = PlacementPolicy::Incremental;
  MoveGate m_Gate;
  // Full: a rank that holds the expert is preferred while its load is at most
  // this part of the mean rank load above the least one; 0: no preference.
  double m_AffinityPart = 0;
  // Incremental: a layer whose slowest rank is at most this part above the
  // mean is left alone.
  double m_GoodEnoughPart = 0.02;
  // Incremental: coldest ranks tried as the other side of a move.
  std::uint32_t m_CandidateRanks = 16;
  // Incremental: a layer that moves leave by more than this part above the mean
  // is weighed against a recomputation with affinity, at the same gate.
  double m_RelayoutPart = 0.05;
  double m_RelayoutAffinityPart = 0.05;
  // Incremental: weights that one decision may move; 0: no limit.
  std::uint64_t m_MaxWeights = 0;
  // Incremental: experts of a layer that are new to one rank; 0: no limit. A
  // layer is never laid out anew under a limit.
  std::uint32_t m_MaxNewPerRankLayer = 0;
  // Incremental: the same over all layers of a rank; 0: no limit.
  std::uint32_t m_MaxNewPerRank = 0;

  bool operator==(const PlacementOptions &) const = default;
};

struct PlacementDecision {
  ExpertMap m_Map;
  // Measured between the map of before and m_Map.
  MoveTrade m_Trade;

  bool operator==(const PlacementDecision &) const = default;
};

// The current map must keep its invariants, the load must have its shape.
PlacementDecision place(const ExpertMap &Current, const ExpertLoad &Load,
                        const RankSlowness &Slowness,
                        const PlacementOptions &Options);

// Replicas for the experts with the largest share, then the longest processing
// time first.
ExpertMap placeFully(const ExpertMap &Current, const ExpertLoad &Load,
                     const RankSlowness &Slowness, double AffinityPart);

// The same for one layer of Next, whose slots there must be empty.
void placeLayerFully(const ExpertMap &Current, ExpertMap &Next,
                     std::uint32_t Layer, const ExpertLoad &Load,
                     const RankSlowness &Slowness, double AffinityPart);

// Moves off the slowest ranks, in chunks that each pass the gate; where they
// get stuck, a layer is recomputed if that passes too. No layer's slowest rank
// gets slower.
ExpertMap placeIncrementally(const ExpertMap &Current, const ExpertLoad &Load,
                             const RankSlowness &Slowness,
                             const PlacementOptions &Options);

} // namespace mangocart

#endif
