// Incremental placement: the slowest rank of a layer gives up the share of a
// replica, either by adding a replica on a rank with low load or by swapping
// experts with it. If no such move helps, the layer is recomputed, provided
// that the gain is worth the weights to move.
#include "Experts/Placement.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace mangocart {

namespace {

struct SlotWrite {
  std::uint32_t m_Rank = 0;
  std::uint32_t m_Slot = 0;
  ExpertId m_Expert = EmptySlot;
};

// One move; it writes one slot per weight that it moves.
struct Move {
  std::array<SlotWrite, 2> m_Writes;
  std::uint32_t m_Weights = 0;
  // Highest load, after the move, of the ranks that it changes.
  double m_Peak = 0;
};

// Consecutive moves of one layer that are applied together or not at all.
struct Chunk {
  std::uint32_t m_Layer = 0;
  std::vector<Move> m_Moves;
  // Used instead of moves: all slots of the layer.
  std::vector<ExpertId> m_Layout;
  MoveImpact m_Impact;

  double tokensSavedPerWeight() const {
    return m_Impact.m_TokensSaved / static_cast<double>(m_Impact.m_Weights);
  }
};

class LayerMover {
public:
  LayerMover(const ExpertMap &Current, std::uint32_t Layer,
             const ExpertLoad &Load, const RankSlowness &Slowness,
             const PlacementOptions &Options)
      : m_Shape(Current.m_Shape), m_Layer(Layer), m_Slowness(Slowness),
        m_Options(Options),
        m_Tokens(Load.m_Tokens.data() + loadIndex(m_Shape, Layer, 0)),
        m_Slots(Current.m_Slots.begin() + static_cast<std::ptrdiff_t>(
                                              slotIndex(m_Shape, Layer, 0, 0)),
                Current.m_Slots.begin() + static_cast<std::ptrdiff_t>(slotIndex(
                                              m_Shape, Layer + 1, 0, 0))),
        m_InitialSlots(m_Slots), m_AddedExperts(m_Shape.m_Ranks, 0),
        m_Holders(m_Shape.m_Experts),
        m_Loads(rankLoads(Current, Layer, Load, Slowness)) {
    for (std::uint32_t Rank = 0; Rank < m_Shape.m_Ranks; ++Rank)
      for (std::uint32_t Slot = 0; Slot < m_Shape.m_SlotsPerRank; ++Slot)
        if (at(Rank, Slot) != EmptySlot)
          m_Holders[at(Rank, Slot)].push_back(Rank);
  }

  // Returns the moves in order, merged so that no chunk saves more per weight
  // than an earlier one.
  std::vector<Chunk> findChunks() {
    std::vector<Chunk> Chunks;
    const double Mean =
        std::accumulate(m_Loads.begin(), m_Loads.end(), 0.0) / m_Shape.m_Ranks;
    const double Threshold = Mean * (1 + m_Options.m_ImbalanceTolerance);
    std::uint32_t HotRank = hottest();
    // Upper bound on the moves; far fewer are ever useful.
    std::size_t MovesLeft = m_Slots.size();
    while (m_Loads[HotRank] > Threshold && MovesLeft-- > 0) {
      const double Before = m_Loads[HotRank];
      const Move Best = bestMove(HotRank);
      if (Best.m_Weights == 0)
        break;
      apply(Best);
      HotRank = hottest();
      append(Chunks, Best, Before - m_Loads[HotRank]);
    }
    return Chunks;
  }

private:
  ExpertId at(std::uint32_t Rank, std::uint32_t Slot) const {
    return m_Slots[std::size_t{Rank} * m_Shape.m_SlotsPerRank + Slot];
  }

  std::uint32_t hottest() const {
    return static_cast<std::uint32_t>(
        std::max_element(m_Loads.begin(), m_Loads.end()) - m_Loads.begin());
  }

  std::vector<std::uint32_t> coldest() const {
    std::vector<std::uint32_t> Ranks(m_Shape.m_Ranks);
    std::iota(Ranks.begin(), Ranks.end(), 0U);
    const auto Count =
        std::min<std::size_t>(m_Options.m_CandidateRanks, Ranks.size());
    const auto Middle = Ranks.begin() + static_cast<std::ptrdiff_t>(Count);
    std::partial_sort(Ranks.begin(), Middle, Ranks.end(),
                      [&](std::uint32_t A, std::uint32_t B) {
                        return m_Loads[A] != m_Loads[B]
                                   ? m_Loads[A] < m_Loads[B]
                                   : A < B;
                      });
    Ranks.resize(Count);
    return Ranks;
  }

  bool holds(std::uint32_t Rank, ExpertId Expert) const {
    const std::vector<std::uint32_t> &Ranks = m_Holders[Expert];
    return std::find(Ranks.begin(), Ranks.end(), Rank) != Ranks.end();
  }

  double share(ExpertId Expert) const {
    return m_Tokens[Expert] / static_cast<double>(m_Holders[Expert].size());
  }

  Move bestMove(std::uint32_t HotRank) const {
    Move Best;
    const std::vector<std::uint32_t> Cold = coldest();
    for (std::uint32_t Slot = 0; Slot < m_Shape.m_SlotsPerRank; ++Slot) {
      const ExpertId Expert = at(HotRank, Slot);
      if (Expert == EmptySlot)
        continue;
      for (const std::uint32_t Other : Cold) {
        if (Other == HotRank || holds(Other, Expert))
          continue;
        for (std::uint32_t To = 0; To < m_Shape.m_SlotsPerRank; ++To) {
          consider(Best, HotRank, replicate(HotRank, Slot, Other, To));
          consider(Best, HotRank, swap(HotRank, Slot, Other, To));
        }
      }
    }
    return Best;
  }

  // Keeps the move that lowers the load of the hot rank most per weight.
  void consider(Move &Best, std::uint32_t HotRank,
                const Move &Candidate) const {
    // A gain below this fraction of the rank's load is a rounding error.
    constexpr double MinRelativeGain = 1e-9;
    if (Candidate.m_Weights == 0 || exceedsLimit(Candidate))
      return;
    const double Load = m_Loads[HotRank];
    const double Gain = (Load - Candidate.m_Peak) / Candidate.m_Weights;
    if (Gain <= Load * MinRelativeGain)
      return;
    if (Best.m_Weights == 0 || Gain > (Load - Best.m_Peak) / Best.m_Weights)
      Best = Candidate;
  }

  // Whether the rank held the expert before the first move.
  bool heldInitially(std::uint32_t Rank, ExpertId Expert) const {
    const auto Begin =
        m_InitialSlots.begin() +
        static_cast<std::ptrdiff_t>(std::size_t{Rank} * m_Shape.m_SlotsPerRank);
    const auto End = Begin + m_Shape.m_SlotsPerRank;
    return std::find(Begin, End, Expert) != End;
  }

  bool exceedsLimit(const Move &Candidate) const {
    if (m_Options.m_MaxNewPerRankLayer == 0)
      return false;
    for (std::uint32_t I = 0; I < Candidate.m_Weights; ++I) {
      const SlotWrite &Write = Candidate.m_Writes[I];
      if (!heldInitially(Write.m_Rank, Write.m_Expert) &&
          m_AddedExperts[Write.m_Rank] >= m_Options.m_MaxNewPerRankLayer)
        return true;
    }
    return false;
  }

  // Adds a replica of the hot rank's expert, in place of an expert that has
  // other replicas.
  Move replicate(std::uint32_t HotRank, std::uint32_t Slot, std::uint32_t Other,
                 std::uint32_t To) const {
    const ExpertId Expert = at(HotRank, Slot);
    const ExpertId Displaced = at(Other, To);
    Move Result;
    Result.m_Writes[0] = {Other, To, Expert};
    const double Old = share(Expert);
    const double New =
        m_Tokens[Expert] / static_cast<double>(m_Holders[Expert].size() + 1);
    double OtherLoad = m_Loads[Other] + New * m_Slowness.of(Other);
    double HotLoad = m_Loads[HotRank] - (Old - New) * m_Slowness.of(HotRank);
    if (Displaced != EmptySlot) {
      const std::vector<std::uint32_t> &Ranks = m_Holders[Displaced];
      if (Ranks.size() < 2)
        return {};
      const double Lost = share(Displaced);
      const double Rise =
          m_Tokens[Displaced] / static_cast<double>(Ranks.size() - 1) - Lost;
      OtherLoad -= Lost * m_Slowness.of(Other);
      for (const std::uint32_t Rank : Ranks) {
        if (Rank == HotRank)
          HotLoad += Rise * m_Slowness.of(HotRank);
        else if (Rank != Other)
          Result.m_Peak = std::max(Result.m_Peak,
                                   m_Loads[Rank] + Rise * m_Slowness.of(Rank));
      }
    }
    Result.m_Peak = std::max({Result.m_Peak, HotLoad, OtherLoad});
    Result.m_Weights = 1;
    return Result;
  }

  Move swap(std::uint32_t HotRank, std::uint32_t Slot, std::uint32_t Other,
            std::uint32_t To) const {
    const ExpertId Expert = at(HotRank, Slot);
    const ExpertId Returned = at(Other, To);
    if (Returned == EmptySlot || holds(HotRank, Returned))
      return {};
    const double Change = share(Expert) - share(Returned);
    Move Result;
    Result.m_Writes = {SlotWrite{Other, To, Expert},
                       SlotWrite{HotRank, Slot, Returned}};
    Result.m_Peak = std::max(m_Loads[HotRank] - Change * m_Slowness.of(HotRank),
                             m_Loads[Other] + Change * m_Slowness.of(Other));
    Result.m_Weights = 2;
    return Result;
  }

  void addLoad(ExpertId Expert, double Sign) {
    if (m_Holders[Expert].empty())
      return;
    const double Tokens = Sign * share(Expert);
    for (const std::uint32_t Rank : m_Holders[Expert])
      m_Loads[Rank] += Tokens * m_Slowness.of(Rank);
  }

  void apply(const Move &Chosen) {
    for (std::uint32_t I = 0; I < Chosen.m_Weights; ++I) {
      const SlotWrite &Write = Chosen.m_Writes[I];
      ExpertId &Slot =
          m_Slots[std::size_t{Write.m_Rank} * m_Shape.m_SlotsPerRank +
                  Write.m_Slot];
      if (Slot != EmptySlot && !heldInitially(Write.m_Rank, Slot))
        --m_AddedExperts[Write.m_Rank];
      if (!heldInitially(Write.m_Rank, Write.m_Expert))
        ++m_AddedExperts[Write.m_Rank];
      if (Slot != EmptySlot) {
        addLoad(Slot, -1);
        std::erase(m_Holders[Slot], Write.m_Rank);
        addLoad(Slot, 1);
      }
      addLoad(Write.m_Expert, -1);
      m_Holders[Write.m_Expert].push_back(Write.m_Rank);
      addLoad(Write.m_Expert, 1);
      Slot = Write.m_Expert;
    }
  }

  void append(std::vector<Chunk> &Chunks, const Move &Added,
              double TokensSaved) const {
    Chunks.push_back({m_Layer, {Added}, {}, {TokensSaved, Added.m_Weights}});
    while (Chunks.size() > 1 &&
           Chunks.back().tokensSavedPerWeight() >=
               Chunks[Chunks.size() - 2].tokensSavedPerWeight()) {
      Chunk &Into = Chunks[Chunks.size() - 2];
      const Chunk &Last = Chunks.back();
      Into.m_Moves.insert(Into.m_Moves.end(), Last.m_Moves.begin(),
                          Last.m_Moves.end());
      Into.m_Impact.m_TokensSaved += Last.m_Impact.m_TokensSaved;
      Into.m_Impact.m_Weights += Last.m_Impact.m_Weights;
      Chunks.pop_back();
    }
  }

  const GroupShape &m_Shape;
  std::uint32_t m_Layer;
  const RankSlowness &m_Slowness;
  const PlacementOptions &m_Options;
  const double *m_Tokens;
  std::vector<ExpertId> m_Slots;
  // Slots before the first move, and the number of experts added to each rank
  // since.
  const std::vector<ExpertId> m_InitialSlots;
  std::vector<std::uint32_t> m_AddedExperts;
  // Ranks that hold each expert.
  std::vector<std::vector<std::uint32_t>> m_Holders;
  std::vector<double> m_Loads;
};

std::ptrdiff_t layerBegin(const ExpertMap &Map, std::uint32_t Layer) {
  return static_cast<std::ptrdiff_t>(slotIndex(Map.m_Shape, Layer, 0, 0));
}

void applyChunk(ExpertMap &Map, const Chunk &Taken) {
  std::copy(Taken.m_Layout.begin(), Taken.m_Layout.end(),
            Map.m_Slots.begin() + layerBegin(Map, Taken.m_Layer));
  for (const Move &M : Taken.m_Moves)
    for (std::uint32_t I = 0; I < M.m_Weights; ++I) {
      const SlotWrite &Write = M.m_Writes[I];
      Map.m_Slots[slotIndex(Map.m_Shape, Taken.m_Layer, Write.m_Rank,
                            Write.m_Slot)] = Write.m_Expert;
    }
}

// Chooses the changes of each layer independently.
class IncrementalPlacer {
public:
  IncrementalPlacer(const ExpertMap &Current, const ExpertLoad &Load,
                    const RankSlowness &Slowness,
                    const PlacementOptions &Options)
      : m_Current(Current), m_Load(Load), m_Slowness(Slowness),
        m_Options(Options) {}

  std::vector<Chunk> chooseChunks(std::uint32_t Layer) const {
    std::vector<Chunk> Chunks =
        LayerMover(m_Current, Layer, m_Load, m_Slowness, m_Options)
            .findChunks();
    std::erase_if(Chunks, [&](const Chunk &Found) {
      return !isWorthwhile(m_Options.m_CostModel, Found.m_Impact);
    });
    ExpertMap Moved = m_Current;
    MoveImpact ByMoves;
    for (const Chunk &Taken : Chunks) {
      applyChunk(Moved, Taken);
      ByMoves.m_TokensSaved += Taken.m_Impact.m_TokensSaved;
      ByMoves.m_Weights += Taken.m_Impact.m_Weights;
    }
    if (m_Options.m_MaxNewPerRankLayer == 0 && !isBalanced(Moved, Layer))
      considerRecomputation(Chunks, ByMoves, Layer);
    return Chunks;
  }

private:
  double slowest(const ExpertMap &Map, std::uint32_t Layer) const {
    const std::vector<double> Loads = rankLoads(Map, Layer, m_Load, m_Slowness);
    return *std::max_element(Loads.begin(), Loads.end());
  }

  bool isBalanced(const ExpertMap &Map, std::uint32_t Layer) const {
    const std::vector<double> Loads = rankLoads(Map, Layer, m_Load, m_Slowness);
    const double Mean = std::accumulate(Loads.begin(), Loads.end(), 0.0) /
                        static_cast<double>(Loads.size());
    return *std::max_element(Loads.begin(), Loads.end()) <=
           Mean * (1 + m_Options.m_RecomputeThreshold);
  }

  // Replaces the moves by a recomputation if its additional saving is worth its
  // additional weights and it is worthwhile as a whole.
  void considerRecomputation(std::vector<Chunk> &Chunks,
                             const MoveImpact &ByMoves,
                             std::uint32_t Layer) const {
    ExpertMap Recomputed = m_Current;
    const auto Begin =
        Recomputed.m_Slots.begin() + layerBegin(Recomputed, Layer);
    const auto End =
        Recomputed.m_Slots.begin() + layerBegin(Recomputed, Layer + 1);
    std::fill(Begin, End, EmptySlot);
    placeLayerFully(m_Current, Recomputed, Layer, m_Load, m_Slowness,
                    m_Options.m_RecomputeAffinityFraction);
    const MoveImpact Total{slowest(m_Current, Layer) -
                               slowest(Recomputed, Layer),
                           weightsMoved(m_Current, Recomputed)};
    const double Cost = static_cast<double>(Total.m_Weights) -
                        static_cast<double>(ByMoves.m_Weights);
    const MoveImpact Additional{
        Total.m_TokensSaved - ByMoves.m_TokensSaved,
        static_cast<std::uint64_t>(std::max(0.0, Cost))};
    if (Total.m_Weights == 0 ||
        !isWorthwhile(m_Options.m_CostModel, Additional) ||
        !isWorthwhile(m_Options.m_CostModel, Total))
      return;
    Chunks = {{Layer, {}, {Begin, End}, Total}};
  }

  const ExpertMap &m_Current;
  const ExpertLoad &m_Load;
  const RankSlowness &m_Slowness;
  const PlacementOptions &m_Options;
};

std::uint32_t maxMovedByRank(const ExpertMap &From, const ExpertMap &To) {
  const std::vector<std::uint32_t> Moved = weightsMovedByRank(From, To);
  return *std::max_element(Moved.begin(), Moved.end());
}

} // namespace

ExpertMap placeIncrementally(const ExpertMap &Current, const ExpertLoad &Load,
                             const RankSlowness &Slowness,
                             const PlacementOptions &Options) {
  const IncrementalPlacer Placer(Current, Load, Slowness, Options);
  std::vector<Chunk> Chunks;
  for (std::uint32_t Layer = 0; Layer < Current.m_Shape.m_Layers; ++Layer)
    for (Chunk &Found : Placer.chooseChunks(Layer))
      Chunks.push_back(std::move(Found));
  // Within a layer the chunks already are in this order.
  std::stable_sort(Chunks.begin(), Chunks.end(),
                   [](const Chunk &A, const Chunk &B) {
                     return A.tokensSavedPerWeight() > B.tokensSavedPerWeight();
                   });
  ExpertMap Next = Current;
  std::uint64_t Weights = 0;
  // Layers of which a chunk was skipped; later chunks of the layer depend on
  // it.
  std::vector<bool> IsClosed(Current.m_Shape.m_Layers, false);
  for (const Chunk &Taken : Chunks) {
    if (IsClosed[Taken.m_Layer])
      continue;
    Weights += Taken.m_Impact.m_Weights;
    if (Options.m_MaxWeights > 0 && Weights > Options.m_MaxWeights)
      break;
    ExpertMap Extended = Next;
    applyChunk(Extended, Taken);
    if (Options.m_MaxNewPerRank > 0 &&
        maxMovedByRank(Current, Extended) > Options.m_MaxNewPerRank)
      IsClosed[Taken.m_Layer] = true;
    else
      Next = std::move(Extended);
  }
  return Next;
}

} // namespace mangocart
