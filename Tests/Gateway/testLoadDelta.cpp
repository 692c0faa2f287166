// Gateways report their load to each other many times per second, as
// differences; applying all of them must give the sender's load.
#include "Core/Random.h"
#include "Gateway/LoadDelta.h"

#include <catch2/catch.hpp>

using namespace mangocart;

TEST_CASE("only differences are reported") {
  struct Case {
    const char *m_Name;
    RequestsByServer m_Before;
    RequestsByServer m_After;
    RequestsByServer m_Delta;
  };
  const Case Cases[] = {
      {"nothing has changed", {{1, 3}, {2, 1}}, {{1, 3}, {2, 1}}, {}},
      {"one more request", {{1, 3}, {2, 1}}, {{1, 4}, {2, 1}}, {{1, 4}}},
      {"the first request of a server", {}, {{1, 1}}, {{1, 1}}},
      {"the last request of a server has ended",
       {{1, 1}, {2, 1}},
       {{2, 1}},
       {{1, 0}}},
  };
  for (const Case &Each : Cases) {
    INFO(Each.m_Name);
    CHECK(loadDelta(Each.m_Before, Each.m_After) == Each.m_Delta);
  }
}

TEST_CASE("applying the differences in order gives the sender's load") {
  Random Generator(1);
  RequestsByServer Sender;
  RequestsByServer Reported;
  RequestsByServer Receiver;
  for (int Round = 0; Round < 1000; ++Round) {
    const std::uint64_t Server = uniform(Generator, 1, 20);
    const auto Requests = static_cast<std::uint32_t>(uniform(Generator, 0, 3));
    applyLoadDelta(Sender, {{Server, Requests}});
    if (uniform(Generator, 0, 2) > 0)
      continue;
    applyLoadDelta(Receiver, loadDelta(Reported, Sender));
    Reported = Sender;
    REQUIRE(Receiver == Sender);
  }
}
