// Validation and load computations of expert maps.
#include "Experts/ExpertMap.h"

#include <algorithm>
#include <numeric>

namespace mangocart {

namespace {

// Number of replicas of each expert in one layer.
std::vector<std::uint32_t> countReplicas(const ExpertMap &Map,
                                         std::uint32_t Layer) {
  const GroupShape &Shape = Map.m_Shape;
  std::vector<std::uint32_t> Counts(Shape.m_Experts, 0);
  const std::size_t Begin = slotIndex(Shape, Layer, 0, 0);
  const std::size_t End = slotIndex(Shape, Layer + 1, 0, 0);
  for (std::size_t I = Begin; I < End; ++I)
    if (Map.m_Slots[I] < Shape.m_Experts)
      ++Counts[Map.m_Slots[I]];
  return Counts;
}

bool holds(const ExpertMap &Map, std::uint32_t Layer, std::uint32_t Rank,
           ExpertId Expert) {
  const auto Begin =
      Map.m_Slots.begin() +
      static_cast<std::ptrdiff_t>(slotIndex(Map.m_Shape, Layer, Rank, 0));
  const auto End = Begin + Map.m_Shape.m_SlotsPerRank;
  return std::find(Begin, End, Expert) != End;
}

std::string findRankViolation(const ExpertMap &Map, std::uint32_t Layer,
                              std::uint32_t Rank) {
  for (std::uint32_t Slot = 0; Slot < Map.m_Shape.m_SlotsPerRank; ++Slot) {
    const std::size_t Index = slotIndex(Map.m_Shape, Layer, Rank, Slot);
    const ExpertId Expert = Map.m_Slots[Index];
    if (Expert == EmptySlot)
      continue;
    if (Expert >= Map.m_Shape.m_Experts)
      return "a slot refers to an unknown expert";
    for (std::uint32_t Other = 0; Other < Slot; ++Other)
      if (Map.m_Slots[Index - Slot + Other] == Expert)
        return "a rank holds an expert twice in a layer";
  }
  return {};
}

} // namespace

bool isValidShape(const GroupShape &Shape) {
  return Shape.m_Ranks > 0 && Shape.m_Layers > 0 && Shape.m_Experts > 0 &&
         Shape.m_Experts < EmptySlot &&
         std::uint64_t{Shape.m_Ranks} * Shape.m_SlotsPerRank >= Shape.m_Experts;
}

ExpertMap initialMap(const GroupShape &Shape) {
  ExpertMap Map{Shape, {}};
  Map.m_Slots.assign(slotIndex(Shape, Shape.m_Layers, 0, 0), EmptySlot);
  const std::uint32_t Total = Shape.m_Ranks * Shape.m_SlotsPerRank;
  for (std::uint32_t Layer = 0; Layer < Shape.m_Layers; ++Layer)
    for (std::uint32_t I = 0; I < Total; ++I) {
      const std::uint32_t Rank = I % Shape.m_Ranks;
      const auto Expert = static_cast<ExpertId>(I % Shape.m_Experts);
      if (!holds(Map, Layer, Rank, Expert))
        Map.m_Slots[slotIndex(Shape, Layer, Rank, I / Shape.m_Ranks)] = Expert;
    }
  return Map;
}

std::string findInvariantViolation(const ExpertMap &Map) {
  const GroupShape &Shape = Map.m_Shape;
  if (Map.m_Slots.size() != slotIndex(Shape, Shape.m_Layers, 0, 0))
    return "the number of slots doesn't match the group shape";
  for (std::uint32_t Layer = 0; Layer < Shape.m_Layers; ++Layer) {
    for (std::uint32_t Rank = 0; Rank < Shape.m_Ranks; ++Rank)
      if (std::string Fault = findRankViolation(Map, Layer, Rank);
          !Fault.empty())
        return Fault;
    const std::vector<std::uint32_t> Counts = countReplicas(Map, Layer);
    if (std::find(Counts.begin(), Counts.end(), 0U) != Counts.end())
      return "an expert has no replica in a layer";
  }
  return {};
}

std::vector<double> rankLoads(const ExpertMap &Map, std::uint32_t Layer,
                              const ExpertLoad &Load,
                              const RankSlowness &Slowness) {
  const GroupShape &Shape = Map.m_Shape;
  const std::vector<std::uint32_t> Counts = countReplicas(Map, Layer);
  std::vector<double> Shares(Shape.m_Experts, 0);
  for (std::uint32_t E = 0; E < Shape.m_Experts; ++E)
    if (Counts[E] > 0)
      Shares[E] = Load.m_Tokens[loadIndex(Shape, Layer, E)] / Counts[E];
  std::vector<double> Loads(Shape.m_Ranks, 0);
  std::size_t Index = slotIndex(Shape, Layer, 0, 0);
  for (std::uint32_t Rank = 0; Rank < Shape.m_Ranks; ++Rank) {
    double Tokens = 0;
    for (std::uint32_t Slot = 0; Slot < Shape.m_SlotsPerRank; ++Slot, ++Index)
      if (Map.m_Slots[Index] != EmptySlot)
        Tokens += Shares[Map.m_Slots[Index]];
    Loads[Rank] = Tokens * Slowness.of(Rank);
  }
  return Loads;
}

StepLoad stepLoad(const ExpertMap &Map, const ExpertLoad &Load,
                  const RankSlowness &Slowness) {
  StepLoad Sum;
  for (std::uint32_t Layer = 0; Layer < Map.m_Shape.m_Layers; ++Layer) {
    const std::vector<double> Loads = rankLoads(Map, Layer, Load, Slowness);
    Sum.m_Slowest += *std::max_element(Loads.begin(), Loads.end());
    Sum.m_Mean += std::accumulate(Loads.begin(), Loads.end(), 0.0) /
                  static_cast<double>(Loads.size());
  }
  return Sum;
}

std::vector<std::uint32_t> weightsMovedByRank(const ExpertMap &From,
                                              const ExpertMap &To) {
  const GroupShape &Shape = To.m_Shape;
  std::vector<std::uint32_t> Moved(Shape.m_Ranks, 0);
  for (std::uint32_t Layer = 0; Layer < Shape.m_Layers; ++Layer)
    for (std::uint32_t Rank = 0; Rank < Shape.m_Ranks; ++Rank)
      for (std::uint32_t Slot = 0; Slot < Shape.m_SlotsPerRank; ++Slot) {
        const ExpertId Expert = To.m_Slots[slotIndex(Shape, Layer, Rank, Slot)];
        if (Expert != EmptySlot && !holds(From, Layer, Rank, Expert))
          ++Moved[Rank];
      }
  return Moved;
}

std::uint64_t weightsMoved(const ExpertMap &From, const ExpertMap &To) {
  const std::vector<std::uint32_t> Moved = weightsMovedByRank(From, To);
  return std::accumulate(Moved.begin(), Moved.end(), std::uint64_t{0});
}

} // namespace mangocart
