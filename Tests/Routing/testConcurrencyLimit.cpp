// Tests that the concurrency limit drops in a backlog and recovers after it.
#include "Routing/ConcurrencyLimit.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

TEST_CASE("the limit depends on the backlog") {
  struct Step {
    const char *m_Case;
    Duration m_At;
    std::size_t m_OtherQueuedRequests;
    std::uint32_t m_Limit;
  };
  const Step Steps[] = {
      {"no other request is queued", 0s, 0, 12},
      {"another request is queued", 1s, 1, 8},
      {"shortly after the backlog", 2s, 0, 8},
      {"long after the backlog", 3s, 0, 12},
      {"a new backlog", 4s, 5, 8},
  };
  ConcurrencyLimit State;
  for (const Step &Each : Steps) {
    CAPTURE(Each.m_Case);
    CHECK(currentLimit(State, 12, Each.m_OtherQueuedRequests, {},
                       TimePoint(Each.m_At)) == Each.m_Limit);
  }
  CHECK(currentLimit(State, 0, 1, {}, TimePoint(5s)) == 0);
  CHECK(currentLimit(State, 1, 1, {}, TimePoint(5s)) == 1);
}
