// Selection of the placement policy, and full recomputation.
#include "Experts/Placement.h"

#include <algorithm>
#include <numeric>
#include <queue>

namespace mangocart {

namespace {

// Fully recomputes one layer.
class LayerPlacer {
public:
  LayerPlacer(const ExpertMap &Current, ExpertMap &Next, std::uint32_t Layer,
              const ExpertLoad &Load, const RankSlowness &Slowness,
              double AffinityFraction)
      : m_Shape(Current.m_Shape), m_Slowness(Slowness),
        m_Tokens(Load.m_Tokens.data() + loadIndex(m_Shape, Layer, 0)),
        m_OldSlots(Current.m_Slots.data() + slotIndex(m_Shape, Layer, 0, 0)),
        m_NewSlots(Next.m_Slots.data() + slotIndex(m_Shape, Layer, 0, 0)),
        m_UsedSlots(m_Shape.m_Ranks, 0), m_Loads(m_Shape.m_Ranks, 0) {
    const double Sum =
        std::accumulate(m_Tokens, m_Tokens + m_Shape.m_Experts, 0.0);
    m_AffinityBonus = AffinityFraction * Sum / m_Shape.m_Ranks;
  }

  void place() {
    const std::vector<std::uint32_t> Replicas = chooseReplicas();
    for (const std::uint32_t Expert : byShare(Replicas))
      placeExpert(Expert, Replicas[Expert]);
  }

private:
  // Gives every expert one replica, and each remaining slot to the expert with
  // the largest share per replica.
  std::vector<std::uint32_t> chooseReplicas() const {
    std::vector<std::uint32_t> Replicas(m_Shape.m_Experts, 1);
    const auto IsSmaller = [&](std::uint32_t A, std::uint32_t B) {
      const double ShareA = m_Tokens[A] / Replicas[A];
      const double ShareB = m_Tokens[B] / Replicas[B];
      return ShareA != ShareB ? ShareA < ShareB : A > B;
    };
    std::priority_queue<std::uint32_t, std::vector<std::uint32_t>,
                        decltype(IsSmaller)>
        Largest(IsSmaller);
    for (std::uint32_t E = 0; E < m_Shape.m_Experts; ++E)
      Largest.push(E);
    std::uint32_t Free =
        m_Shape.m_Ranks * m_Shape.m_SlotsPerRank - m_Shape.m_Experts;
    while (Free > 0 && !Largest.empty()) {
      const std::uint32_t Expert = Largest.top();
      Largest.pop();
      if (Replicas[Expert] >= m_Shape.m_Ranks)
        continue;
      ++Replicas[Expert];
      --Free;
      Largest.push(Expert);
    }
    return Replicas;
  }

  std::vector<std::uint32_t>
  byShare(const std::vector<std::uint32_t> &Replicas) const {
    std::vector<std::uint32_t> Order(m_Shape.m_Experts);
    std::iota(Order.begin(), Order.end(), 0U);
    std::stable_sort(
        Order.begin(), Order.end(), [&](std::uint32_t A, std::uint32_t B) {
          return m_Tokens[A] / Replicas[A] > m_Tokens[B] / Replicas[B];
        });
    return Order;
  }

  // A replica that fits on no rank is dropped. The first one always fits,
  // because the replicas of all experts together fit into the slots.
  void placeExpert(std::uint32_t Expert, std::uint32_t Replicas) {
    const double Share = m_Tokens[Expert] / Replicas;
    for (std::uint32_t I = 0; I < Replicas; ++I) {
      const std::uint32_t Rank =
          chooseRank(static_cast<ExpertId>(Expert), Share);
      if (Rank == m_Shape.m_Ranks)
        return;
      m_NewSlots[std::size_t{Rank} * m_Shape.m_SlotsPerRank +
                 m_UsedSlots[Rank]] = static_cast<ExpertId>(Expert);
      ++m_UsedSlots[Rank];
      m_Loads[Rank] += Share * m_Slowness.of(Rank);
    }
  }

  std::uint32_t chooseRank(ExpertId Expert, double Share) const {
    std::uint32_t Best = m_Shape.m_Ranks;
    double BestKey = 0;
    for (std::uint32_t Rank = 0; Rank < m_Shape.m_Ranks; ++Rank) {
      if (m_UsedSlots[Rank] == m_Shape.m_SlotsPerRank ||
          holds(m_NewSlots, Rank, Expert))
        continue;
      double Key = m_Loads[Rank] + Share * m_Slowness.of(Rank);
      if (m_AffinityBonus > 0 && holds(m_OldSlots, Rank, Expert))
        Key -= m_AffinityBonus;
      if (Best == m_Shape.m_Ranks || Key < BestKey) {
        Best = Rank;
        BestKey = Key;
      }
    }
    return Best;
  }

  bool holds(const ExpertId *Slots, std::uint32_t Rank, ExpertId Expert) const {
    const ExpertId *Begin = Slots + std::size_t{Rank} * m_Shape.m_SlotsPerRank;
    const ExpertId *End = Begin + m_Shape.m_SlotsPerRank;
    return std::find(Begin, End, Expert) != End;
  }

  const GroupShape &m_Shape;
  const RankSlowness &m_Slowness;
  const double *m_Tokens;
  const ExpertId *m_OldSlots;
  ExpertId *m_NewSlots;
  std::vector<std::uint32_t> m_UsedSlots;
  std::vector<double> m_Loads;
  // Tokens by which the load of a rank that holds the expert may exceed the
  // lowest one.
  double m_AffinityBonus = 0;
};

ExpertMap chooseMap(const ExpertMap &Current, const ExpertLoad &Load,
                    const RankSlowness &Slowness,
                    const PlacementOptions &Options) {
  switch (Options.m_Policy) {
  case PlacementPolicy::Full:
    return placeFully(Current, Load, Slowness, Options.m_AffinityFraction);
  case PlacementPolicy::Incremental:
    return placeIncrementally(Current, Load, Slowness, Options);
  case PlacementPolicy::None:
    break;
  }
  return Current;
}

} // namespace

void placeLayerFully(const ExpertMap &Current, ExpertMap &Next,
                     std::uint32_t Layer, const ExpertLoad &Load,
                     const RankSlowness &Slowness, double AffinityFraction) {
  LayerPlacer(Current, Next, Layer, Load, Slowness, AffinityFraction).place();
}

ExpertMap placeFully(const ExpertMap &Current, const ExpertLoad &Load,
                     const RankSlowness &Slowness, double AffinityFraction) {
  ExpertMap Next{Current.m_Shape, {}};
  Next.m_Slots.assign(Current.m_Slots.size(), EmptySlot);
  for (std::uint32_t Layer = 0; Layer < Current.m_Shape.m_Layers; ++Layer)
    placeLayerFully(Current, Next, Layer, Load, Slowness, AffinityFraction);
  return Next;
}

PlacementDecision place(const ExpertMap &Current, const ExpertLoad &Load,
                        const RankSlowness &Slowness,
                        const PlacementOptions &Options) {
  PlacementDecision Decision;
  Decision.m_Map = chooseMap(Current, Load, Slowness, Options);
  if (Options.m_Policy == PlacementPolicy::None)
    return Decision;
  Decision.m_Impact.m_TokensSaved =
      stepLoad(Current, Load, Slowness).m_Slowest -
      stepLoad(Decision.m_Map, Load, Slowness).m_Slowest;
  Decision.m_Impact.m_Weights = weightsMoved(Current, Decision.m_Map);
  return Decision;
}

} // namespace mangocart
