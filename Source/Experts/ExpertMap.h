// Placement of experts on the ranks of a group by layer, and how evenly a map
// distributes a load. The ranks synchronize at the end of each layer, so the
// time of a step is the sum over the layers of the slowest rank's time.
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
  // Experts per layer.
  std::uint32_t m_Experts = 0;
  std::uint32_t m_Layers = 0;
  // Experts per layer that one rank can hold.
  std::uint32_t m_SlotsPerRank = 0;

  bool operator==(const GroupShape &) const = default;
};

// Returns true if the slots hold at least one replica of every expert and all
// expert numbers fit into ExpertId.
bool isValidShape(const GroupShape &Shape);

struct ExpertMap {
  GroupShape m_Shape;
  // Indexed by layer, rank and slot. Invariants: every expert has at least one
  // replica in each layer; no rank holds the same expert twice in a layer.
  std::vector<ExpertId> m_Slots;

  bool operator==(const ExpertMap &) const = default;
};

// Tokens routed to each expert in one step, indexed by layer and expert.
struct ExpertLoad {
  std::vector<double> m_Tokens;

  bool operator==(const ExpertLoad &) const = default;
};

// Time that a rank needs for the same work, as a multiple of its peers' time.
struct RankSlowness {
  // Indexed by rank; empty if all ranks are equally fast.
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

// Returns the map of a new group: experts are assigned to ranks round-robin,
// and the remaining slots are filled in the same order.
ExpertMap initialMap(const GroupShape &Shape);

// Returns a description of the first violated invariant, or an empty string.
std::string findInvariantViolation(const ExpertMap &Map);

// Time of a step, in tokens: on the slowest rank, and with the load spread
// evenly over all ranks.
struct StepLoad {
  double m_Slowest = 0;
  double m_Mean = 0;

  // Ratio of slowest to mean; 1 without load.
  double skew() const { return m_Mean > 0 ? m_Slowest / m_Mean : 1.0; }
  bool operator==(const StepLoad &) const = default;
};

// Assumes that the replicas of an expert share its tokens evenly.
StepLoad stepLoad(const ExpertMap &Map, const ExpertLoad &Load,
                  const RankSlowness &Slowness = {});

// Work of each rank in one layer: its tokens times its slowness.
std::vector<double> rankLoads(const ExpertMap &Map, std::uint32_t Layer,
                              const ExpertLoad &Load,
                              const RankSlowness &Slowness = {});

// Number of expert weights that each rank has to load when the map changes.
std::vector<std::uint32_t> weightsMovedByRank(const ExpertMap &From,
                                              const ExpertMap &To);
std::uint64_t weightsMoved(const ExpertMap &From, const ExpertMap &To);

} // namespace mangocart

#endif
