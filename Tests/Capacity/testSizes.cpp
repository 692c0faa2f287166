// Upper bounds of the message sizes that docs/CAPACITY.md is calculated from. A
// change that exceeds a bound requires recalculating that page.
#include "Capacity/Measurement.h"

#include <catch2/catch.hpp>

using namespace mangocart;

TEST_CASE("message sizes are within the bounds of the capacity page") {
  const std::size_t Customers = sampleConfiguration(2'000, 4).ByteSizeLong() -
                                sampleConfiguration(1'000, 4).ByteSizeLong();
  const std::size_t EntryVms = sampleConfiguration(10, 200).ByteSizeLong() -
                               sampleConfiguration(10, 100).ByteSizeLong();
  const std::size_t Differences =
      sampleGossip(200, 4).ByteSizeLong() - sampleGossip(100, 4).ByteSizeLong();
  const std::size_t KnownEntries =
      sampleGossip(0, 200).ByteSizeLong() - sampleGossip(0, 100).ByteSizeLong();
  struct Row {
    const char *m_Name;
    std::size_t m_Bytes;
    std::size_t m_Bound;
  };
  const Row Rows[] = {
      {"1,000 customers of a configuration", Customers, 23'000},
      {"100 entry VMs of a configuration", EntryVms, 6'000},
      {"100 differences of gossip", Differences, 10'600},
      {"100 known entries of gossip", KnownEntries, 3'050},
  };
  for (const Row &Each : Rows) {
    INFO(Each.m_Name);
    CHECK(Each.m_Bytes <= Each.m_Bound);
  }
}
