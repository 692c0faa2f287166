// Limits that servers name. Guards against gateways that each take the whole
// limit, or save up more than the server takes, so that it gets far more than
// it named.
#include "Core/Random.h"
#include "Routing/ServerNotices.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1000s};

GatewayList gateways(std::size_t Count, std::size_t Self) {
  GatewayList List;
  for (std::size_t I = 0; I < Count; ++I)
    List.m_All.push_back(fmt::format("10.0.0.{}:7340", I));
  List.m_Self = List.m_All[Self];
  return List;
}

ServerNotices notices(std::size_t Count, std::size_t Self) {
  ServerNotices Notices;
  Notices.m_Gateways = gateways(Count, Self);
  return Notices;
}

ServerNotice limit(double PerSecond) {
  ServerNotice Notice;
  Notice.m_RequestsPerSecond = PerSecond;
  return Notice;
}

} // namespace

TEST_CASE("a server that names no limit gets any request") {
  ServerNotices N = notices(4, 0);
  CHECK(mayReceive(N, "e", Start));
  recordNotice(N, "e", {}, Start);
  CHECK(mayReceive(N, "e", Start));
  CHECK(N.m_Servers.empty());
}

TEST_CASE("the rates of all gateways add up to the limit") {
  for (const std::size_t Count : {1U, 4U, 59U, 370U})
    for (const double Limit : {0.5, 2.7, 20.0, 1000.0}) {
      double Sum = 0.0;
      for (std::size_t Self = 0; Self < Count; ++Self)
        Sum += ownRate(notices(Count, Self), "e", Limit);
      INFO(Count << " gateways, limit " << Limit);
      CHECK(Sum == Approx(Limit));
    }
}

TEST_CASE("a limit that is lifted and named again isn't spent twice") {
  ServerNotices N = notices(1, 0);
  recordNotice(N, "e", limit(1.0), Start);
  CHECK_FALSE(mayReceive(N, "e", Start));
  REQUIRE(mayReceive(N, "e", Start + 1s));
  recordSent(N, "e", Start + 1s);
  CHECK_FALSE(mayReceive(N, "e", Start + 1100ms));
  recordNotice(N, "e", {}, Start + 1200ms);
  CHECK(mayReceive(N, "e", Start + 1200ms));
  recordNotice(N, "e", limit(1.0), Start + 1300ms);
  CHECK_FALSE(mayReceive(N, "e", Start + 1300ms));
}

TEST_CASE("the newest sighting of a limit counts, whoever saw it") {
  ServerNotices N = notices(4, 0);
  mergeLimit(N, "e", {2.0, Start}, Start + 10ms);
  CHECK_FALSE(mayReceive(N, "e", Start + 20ms));
  recordNotice(N, "e", {}, Start + 30ms);
  mergeLimit(N, "e", {2.0, Start + 20ms}, Start + 40ms);
  CHECK(mayReceive(N, "e", Start + 40ms));
  mergeLimit(N, "e", {2.0, Start + 50ms}, Start + 60ms);
  CHECK_FALSE(mayReceive(N, "e", Start + 60ms));
}

TEST_CASE("other gateways hear of changed limits, and again while they hold") {
  ServerNotices N = notices(4, 0);
  recordNotice(N, "e", limit(2.0), Start);
  CHECK(N.m_News.count("e") == 1);
  N.m_News.clear();
  recordNotice(N, "e", limit(2.0), Start + 1s);
  CHECK(N.m_News.empty());
  recordNotice(N, "e", limit(2.0), Start + 6s);
  CHECK(N.m_News.count("e") == 1);
  N.m_News.clear();
  recordNotice(N, "e", {}, Start + 7s);
  CHECK(N.m_News.count("e") == 1);
}

TEST_CASE(
    "a pause that a server asks for is kept, a shorter one doesn't end it") {
  ServerNotices N = notices(4, 0);
  ServerNotice Pause;
  Pause.m_Pause = 3s;
  recordNotice(N, "e", Pause, Start);
  CHECK_FALSE(mayReceive(N, "e", Start));
  Pause.m_Pause = 1s;
  recordNotice(N, "e", Pause, Start + 1s);
  // An answer to an earlier request doesn't end it either.
  recordNotice(N, "e", {}, Start + 1s);
  removeExpired(N, Start + 1s);
  CHECK_FALSE(mayReceive(N, "e", Start + 2999ms));
  CHECK(pausedUntil(N, "e", Start + 2s) == Start + 3s);
  CHECK(mayReceive(N, "e", Start + 3s));
  CHECK_FALSE(pausedUntil(N, "e", Start + 3s));
}

TEST_CASE("a limit that nothing confirms is forgotten") {
  ServerNotices N = notices(1, 0);
  recordNotice(N, "e", limit(0.0), Start);
  CHECK_FALSE(mayReceive(N, "e", Start + 29s));
  CHECK(mayReceive(N, "e", Start + 31s));
  removeExpired(N, Start + 31s);
  CHECK(N.m_Servers.empty());
}

// Gateways with any demand, that send whenever they may, keep within one and a
// half times the limit and five requests in each four seconds, from the first
// answer with the limit on.
TEST_CASE("gateways together keep to a limit, whatever each sends") {
  struct Pattern {
    const char *m_Name;
    std::size_t m_Gateways;
    double m_Limit;
    // Requests a second that each gateway could send.
    double m_Demand;
  };
  const Pattern Patterns[] = {
      {"four, low", 4, 0.5, 5}, {"four", 4, 2.7, 5},
      {"59, low", 59, 1.0, 1},  {"59", 59, 12.0, 3},
      {"370", 370, 2.0, 0.5},   {"370, high", 370, 100.0, 3},
      {"one", 1, 3.0, 20},
  };
  for (const Pattern &Each : Patterns)
    for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
      INFO(Each.m_Name << ", seed " << Seed);
      Random Generator(Seed);
      std::vector<ServerNotices> All;
      for (std::size_t I = 0; I < Each.m_Gateways; ++I) {
        All.push_back(notices(Each.m_Gateways, I));
        recordNotice(All.back(), "e", limit(Each.m_Limit), Start);
      }
      constexpr Duration Step = 10ms;
      std::vector<TimePoint> Sent;
      std::size_t Most = 0;
      for (TimePoint Now = Start; Now < Start + 30s; Now += Step) {
        for (ServerNotices &Own : All) {
          if (uniformReal(Generator) > Each.m_Demand * 0.01)
            continue;
          if (!mayReceive(Own, "e", Now))
            continue;
          recordSent(Own, "e", Now);
          recordNotice(Own, "e", limit(Each.m_Limit), Now);
          Sent.push_back(Now);
        }
        while (!Sent.empty() && Now - Sent.front() > 4s)
          Sent.erase(Sent.begin());
        Most = std::max(Most, Sent.size());
      }
      CHECK(static_cast<double>(Most) <= 1.5 * Each.m_Limit * 4 + 5);
      CHECK(Most >= static_cast<std::size_t>(Each.m_Limit * 2));
    }
}
