// Gateways report their load to each other many times per second, as
// differences; applying all of them must give the sender's load: requests and
// pending prompt tokens.
#include "Core/Random.h"
#include "Gateway.pb.h"
#include "Gateway/LoadMessages.h"

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

TEST_CASE("a server is reported if either of its counts has changed") {
  const GatewayLoad Before{{{1, 1}, {2, 2}, {3, 1}}, {{1, 700}, {2, 300}}};
  const GatewayLoad After{{{1, 1}, {2, 2}, {4, 1}}, {{2, 300}, {4, 50}}};
  schema::LoadReport Report;
  Report.set_changes_only(true);
  addLoadChanges(Report, Before, After);
  const std::vector<std::uint64_t> Servers(Report.servers().begin(),
                                           Report.servers().end());
  // The answer of 1 has begun, 3 has no request any more, 4 has its first.
  CHECK(Servers == std::vector<std::uint64_t>{1, 3, 4});
  GatewayLoad Known = Before;
  REQUIRE(applyLoad(Known, Report));
  CHECK(Known == After);
}

TEST_CASE("applying load reports in order gives both counts of the sender") {
  Random Generator(2);
  GatewayLoad Sender;
  GatewayLoad Reported;
  GatewayLoad Receiver;
  for (int Round = 0; Round < 1000; ++Round) {
    const std::uint64_t Server = uniform(Generator, 1, 20);
    const auto Requests = static_cast<std::uint32_t>(uniform(Generator, 0, 3));
    const auto Tokens =
        static_cast<std::uint32_t>(uniform(Generator, 0, 1) * 900);
    applyLoadDelta(Sender.m_Requests, {{Server, Requests}});
    applyLoadDelta(Sender.m_PendingPromptTokens,
                   {{Server, Requests == 0 ? 0 : Tokens}});
    if (uniform(Generator, 0, 2) > 0)
      continue;
    schema::LoadReport Report;
    // A full report after a lost connection, otherwise the changes.
    if (uniform(Generator, 0, 9) == 0) {
      addLoad(Report, Sender);
      Receiver.m_Requests[99] = 1;
    } else {
      Report.set_changes_only(true);
      addLoadChanges(Report, Reported, Sender);
    }
    REQUIRE(applyLoad(Receiver, Report));
    Reported = Sender;
    REQUIRE(Receiver == Sender);
  }
}
