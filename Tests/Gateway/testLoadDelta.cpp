// Pattern: many gateways tell each other their work many times a second.
#include "Core/Random.h"
#include "Gateway/LoadDelta.h"

#include <catch2/catch.hpp>

using namespace mangocart;

TEST_CASE("only what differs is told") {
  struct Case {
    const char *m_Name;
    WorkByServer m_Before;
    WorkByServer m_After;
    WorkByServer m_Changes;
  };
  const Case Cases[] = {
      {"nothing has changed", {{1, 3}, {2, 1}}, {{1, 3}, {2, 1}}, {}},
      {"one more request", {{1, 3}, {2, 1}}, {{1, 4}, {2, 1}}, {{1, 4}}},
      {"the first request of a server", {}, {{1, 1}}, {{1, 1}}},
      {"the last one has ended", {{1, 1}, {2, 1}}, {{2, 1}}, {{1, 0}}},
  };
  for (const Case &Each : Cases) {
    INFO(Each.m_Name);
    CHECK(workChanges(Each.m_Before, Each.m_After) == Each.m_Changes);
  }
}

TEST_CASE("changes in their order bring the work to the sender's") {
  Random Generator(1);
  WorkByServer Sender;
  WorkByServer Told;
  WorkByServer Receiver;
  for (int Round = 0; Round < 1000; ++Round) {
    const std::uint64_t Server = uniform(Generator, 1, 20);
    const auto Requests = static_cast<std::uint32_t>(uniform(Generator, 0, 3));
    applyWorkChanges(Sender, {{Server, Requests}});
    if (uniform(Generator, 0, 2) > 0)
      continue;
    applyWorkChanges(Receiver, workChanges(Told, Sender));
    Told = Sender;
    REQUIRE(Receiver == Sender);
  }
}
