// The requests that were answered last. Guards against a record that grows with
// the number of requests, and against wrong counts once it is full.
#include "Routing/RecentRequests.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1000s};

} // namespace

TEST_CASE("a request is counted as often as it is among the latest ones") {
  RecentRequests Recent;
  recordRequest(Recent, "a", 3, Start);
  recordRequest(Recent, "b", 3, Start + 1s);
  recordRequest(Recent, "a", 3, Start + 2s);
  REQUIRE(findRequest(Recent, "a"));
  CHECK(*findRequest(Recent, "a") == RecentRequest{2, Start + 2s});
  CHECK_FALSE(findRequest(Recent, "c"));
  recordRequest(Recent, "c", 3, Start + 3s);
  CHECK(findRequest(Recent, "a")->m_Count == 1);
  recordRequest(Recent, "c", 3, Start + 4s);
  CHECK_FALSE(findRequest(Recent, "b"));
  CHECK(Recent.m_Order.size() == 3);
  CHECK(Recent.m_ByDigest.size() == 2);
}

TEST_CASE("a request is forgotten when it is the only one kept and another "
          "comes") {
  RecentRequests Recent;
  recordRequest(Recent, "a", 1, Start);
  recordRequest(Recent, "a", 1, Start + 1s);
  CHECK(findRequest(Recent, "a")->m_Count == 1);
  recordRequest(Recent, "b", 1, Start + 2s);
  CHECK_FALSE(findRequest(Recent, "a"));
  CHECK(Recent.m_ByDigest.size() == 1);
}
