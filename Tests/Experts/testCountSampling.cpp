// Pattern: a group of 64 ranks, 3,072 counts each, behind a link of 6 Mbit/s.
// The counts of all ranks take 0.26 s of the link, more than a balancer may
// take to answer, so the coordinator saw unreachable ranks in every round and
// never changed a map.
#include "Experts/CountSampling.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <numeric>

using namespace mangocart;

namespace {

std::size_t countOf(const std::vector<bool> &Sample) {
  return static_cast<std::size_t>(
      std::count(Sample.begin(), Sample.end(), true));
}

} // namespace

TEST_CASE("count sampling: a sample fits into the bytes of a round") {
  constexpr std::size_t Ranks = 64;
  constexpr double CountBytes = 3072.0;
  // Half of 6 Mbit/s for 70 ms.
  constexpr double RoundBytes = 6e6 / 8 * 0.5 * 0.07;
  CountSampler Sampler;
  for (int Round = 0; Round < 100; ++Round) {
    const std::size_t Count =
        countOf(sampleRanks(Sampler, Ranks, CountBytes, RoundBytes));
    CHECK(Count >= 1);
    CHECK(static_cast<double>(Count) * CountBytes <= RoundBytes);
  }
}

TEST_CASE("count sampling: every rank is sampled equally often") {
  constexpr std::size_t Ranks = 64;
  constexpr std::size_t SampleSize = 5;
  CountSampler Sampler;
  std::vector<int> Samples(Ranks);
  // Each rank is in exactly five of 64 consecutive samples of five.
  for (std::size_t Round = 0; Round < Ranks; ++Round) {
    const std::vector<bool> Sample =
        sampleRanks(Sampler, Ranks, 100.0, 100.0 * SampleSize);
    for (std::size_t Rank = 0; Rank < Ranks; ++Rank)
      Samples[Rank] += Sample[Rank] ? 1 : 0;
  }
  CHECK(Samples == std::vector<int>(Ranks, SampleSize));
}

TEST_CASE("count sampling: a small group is read whole in each round") {
  CountSampler Sampler;
  for (int Round = 0; Round < 3; ++Round)
    CHECK(countOf(sampleRanks(Sampler, 12, 288.0, 87500.0)) == 12);
}

TEST_CASE("count sampling: at least one rank is sampled") {
  CountSampler Sampler;
  CHECK(countOf(sampleRanks(Sampler, 64, 3072.0, 10.0)) == 1);
  CHECK(countOf(sampleRanks(Sampler, 64, 0.0, 0.0)) == 1);
  CHECK(sampleRanks(Sampler, 0, 3072.0, 1e6).empty());
}
