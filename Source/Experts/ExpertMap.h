// Which expert sits on which rank of a group, layer by layer, and how well a
// map spreads a load. Ranks meet at the end of each layer, so a step lasts as
// long as the sum over the layers of the slowest rank's time.
#ifndef MANGOCART_EXPERTS_EXPERTMAP_H
#define MANGOCART_EXPERTS_EXPERTMAP_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace mangocart {

using ExpertId = std::uint16_t;
inline constexpr ExpertId EmptySlot = 0xFFFF;

struct GroupShape {
  std::uint32_t m_Ranks = 0;
  // Experts of one layer.
  std::uint32_t m_Experts = 0;
  std::uint32_t m_Layers = 0;
  // Experts that one rank can hold in one layer.
  std::uint32_t m_SlotsPerRank = 0;

  bool operator==(const GroupShape &) const = default;
};

// True when each expert can have a replica and expert numbers fit.
bool isUsable(const GroupShape &Shape);

struct ExpertMap {
  GroupShape m_Shape;
  // By layer, rank, slot. Invariants: each expert has a replica in each layer;
  // no rank holds an expert twice in a layer.
  std::vector<ExpertId> m_Slots;

  bool operator==(const ExpertMap &) const = default;
};

// Tokens that reach each expert in one step, by layer and expert.
struct ExpertLoad {
  std::vector<double> m_Tokens;

  bool operator==(const ExpertLoad &) const = default;
};

// Time of a rank for the same work, as a multiple of its peers' time.
struct RankSlowness {
  // By rank; empty: all ranks are equal.
  std::vector<double> m_Factors;

  double of(std::uint32_t Rank) const {
    return m_Factors.empty() ? 1.0 : m_Factors[Rank];
  }
  bool operator==(const RankSlowness &) const = default;
};

inline std::size_t slotIndex(const GroupShape &Shape, std::uint32_t Layer,
                             std::uint32_t Rank, std::uint32_t Slot) {
  return (std::size_t{Layer} * Shape.m_Ranks + Rank) * Shape.m_SlotsPerRank +
         Slot;
}

inline std::size_t loadIndex(const GroupShape &Shape, std::uint32_t Layer,
                             std::uint32_t Expert) {
  return std::size_t{Layer} * Shape.m_Experts + Expert;
}

// The map of a group without any history: experts in turn over the ranks, the
// rest of the slots filled in the same order.
ExpertMap initialMap(const GroupShape &Shape);

// Empty when the map keeps its invariants, otherwise the first broken one.
std::string findFault(const ExpertMap &Map);

// Time of a step in tokens on the slowest rank, and what it would be with the
// load spread evenly over all ranks.
struct StepLoad {
  double m_Slowest = 0;
  double m_Mean = 0;

  // Slowest over mean; 1 without load.
  double skew() const { return m_Mean > 0 ? m_Slowest / m_Mean : 1.0; }
  bool operator==(const StepLoad &) const = default;
};

// Replicas of an expert share its tokens evenly.
StepLoad stepLoad(const ExpertMap &Map, const ExpertLoad &Load,
                  const RankSlowness &Slowness = {});

// Work of each rank of one layer, in tokens times its slowness.
std::vector<double> rankLoads(const ExpertMap &Map, std::uint32_t Layer,
                              const ExpertLoad &Load,
                              const RankSlowness &Slowness = {});

// Experts' weights that each rank has to load to go from one map to the other.
std::vector<std::uint32_t> weightsMovedByRank(const ExpertMap &From,
                                              const ExpertMap &To);
std::uint64_t weightsMoved(const ExpertMap &From, const ExpertMap &To);

} // namespace mangocart

#endif
