// Selects the ranks whose counts a coordinator requests in a round. The counts
// of all ranks of a large group don't fit through the link of the coordinator's
// machine several times a second. Requests are spread over the ranks at random,
// so a few ranks at a time represent the group, and each rank reports all
// counts since its previous report.
#ifndef MANGOCART_EXPERTS_COUNTSAMPLING_H
#define MANGOCART_EXPERTS_COUNTSAMPLING_H

#include <cstddef>
#include <cstdint>
#include <vector>

namespace mangocart {

struct CountSampler {
  // The first rank of the next sample.
  std::size_t m_NextRank = 0;

  bool operator==(const CountSampler &) const = default;
};

// Returns for each rank whether its counts are requested in this round: as many
// consecutive ranks as fit into BytesPerRound, at least one. Every rank is
// selected in turn.
std::vector<bool> sampleRanks(CountSampler &Sampler, std::size_t Ranks,
                              double BytesPerRank, double BytesPerRound);

} // namespace mangocart

#endif
