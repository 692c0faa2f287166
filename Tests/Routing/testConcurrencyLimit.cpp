// The bound on a server's places falls in a backlog and comes back after it.
#include "Routing/ConcurrencyLimit.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

TEST_CASE("the bound follows the backlog") {
  struct Step {
    const char *m_Case;
    Duration m_At;
    std::size_t m_OthersWaiting;
    std::uint32_t m_Bound;
  };
  const Step Steps[] = {
      {"nothing waits", 0s, 0, 12}, {"another one waits", 1s, 1, 8},
      {"just after", 2s, 0, 8},     {"long after", 3s, 0, 12},
      {"again", 4s, 5, 8},
  };
  PlaceBound Bound;
  for (const Step &Each : Steps) {
    CAPTURE(Each.m_Case);
    CHECK(currentBound(Bound, 12, Each.m_OthersWaiting, {},
                       TimePoint(Each.m_At)) == Each.m_Bound);
  }
  CHECK(currentBound(Bound, 0, 1, {}, TimePoint(5s)) == 0);
  CHECK(currentBound(Bound, 1, 1, {}, TimePoint(5s)) == 1);
}
