// Pattern: 59 gateways told each other their load 25 times a second, 1,450
// reports a second at each, and the number grew with the square of the fleet.
// Fewer reports must not make gateways pick the same free servers: the second
// test models choices by loads that are as old as the interval.
#include "Gateway/LoadReportInterval.h"

#include "Core/Random.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace mangocart;

namespace {

double reportsPerSecond(std::size_t Gateways) {
  return static_cast<double>(Gateways - 1) /
         std::chrono::duration<double>(loadReportInterval(Gateways)).count();
}

struct Fleet {
  std::size_t m_Gateways;
  std::size_t m_Servers;
  std::uint32_t m_SlotsPerServer;
  double m_Occupancy;
};

// Returns the fraction of requests that reach a server whose slots are all
// taken. Each gateway knows its own requests at once and those of the others as
// of their last report; it takes the less loaded of two random servers with a
// free slot.
double collisionFraction(const Fleet &Fleet, std::uint64_t Seed) {
  constexpr double ServiceSeconds = 1.5;
  constexpr double Seconds = 20.0;
  const double Interval =
      std::chrono::duration<double>(loadReportInterval(Fleet.m_Gateways))
          .count();
  const double Rate = Fleet.m_Occupancy * static_cast<double>(Fleet.m_Servers) *
                      Fleet.m_SlotsPerServer / ServiceSeconds;
  Random Generator(Seed);
  struct Running {
    double m_Ends;
    std::size_t m_Gateway;
    std::size_t m_Server;
  };
  std::vector<std::vector<int>> Own(Fleet.m_Gateways,
                                    std::vector<int>(Fleet.m_Servers));
  std::vector<std::vector<int>> Reported = Own;
  std::vector<int> Total(Fleet.m_Servers);
  std::vector<int> ReportedTotal(Fleet.m_Servers);
  std::vector<double> NextReport(Fleet.m_Gateways);
  for (double &Next : NextReport)
    Next = Interval * uniformReal(Generator);
  std::vector<Running> Requests;
  std::size_t Sent = 0;
  std::size_t Collisions = 0;
  for (double Now = 0; Now < Seconds; Now += 1.0 / Rate) {
    std::erase_if(Requests, [&](const Running &Each) {
      if (Each.m_Ends > Now)
        return false;
      --Own[Each.m_Gateway][Each.m_Server];
      --Total[Each.m_Server];
      return true;
    });
    for (std::size_t G = 0; G < Fleet.m_Gateways; ++G)
      if (NextReport[G] <= Now) {
        NextReport[G] += Interval;
        for (std::size_t S = 0; S < Fleet.m_Servers; ++S) {
          ReportedTotal[S] += Own[G][S] - Reported[G][S];
          Reported[G][S] = Own[G][S];
        }
      }
    const std::size_t G = uniform(Generator, 0, Fleet.m_Gateways - 1);
    const auto KnownLoad = [&](std::size_t S) {
      return ReportedTotal[S] - Reported[G][S] + Own[G][S];
    };
    std::vector<std::size_t> Free;
    for (std::size_t S = 0; S < Fleet.m_Servers; ++S)
      if (KnownLoad(S) < static_cast<int>(Fleet.m_SlotsPerServer))
        Free.push_back(S);
    if (Free.empty())
      continue;
    const std::size_t A = Free[uniform(Generator, 0, Free.size() - 1)];
    const std::size_t B = Free[uniform(Generator, 0, Free.size() - 1)];
    const std::size_t Chosen = KnownLoad(B) < KnownLoad(A) ? B : A;
    ++Sent;
    if (Total[Chosen] >= static_cast<int>(Fleet.m_SlotsPerServer))
      ++Collisions;
    ++Total[Chosen];
    ++Own[G][Chosen];
    Requests.push_back({Now + ServiceSeconds, G, Chosen});
  }
  return static_cast<double>(Collisions) / static_cast<double>(Sent);
}

} // namespace

TEST_CASE("load reports: a gateway's reports don't grow with the fleet") {
  // A quarter of the 1,450 reports a second of 59 gateways at 40 ms.
  constexpr double MaxReportsPerSecond = 362.0;
  for (const std::size_t Gateways : {2, 4, 17, 59, 100})
    CHECK(reportsPerSecond(Gateways) <= MaxReportsPerSecond);
  CHECK(loadReportInterval(1000) <= std::chrono::milliseconds(400));
}

TEST_CASE("load reports: small fleets report as often as their load changes") {
  for (const std::size_t Gateways : {1, 2, 4, 12})
    CHECK(loadReportInterval(Gateways) == std::chrono::milliseconds(40));
}

TEST_CASE("load reports: few requests reach a server without a free slot") {
  constexpr double MaxCollisions = 0.01;
  const Fleet Fleets[] = {
      {4, 12, 12, 0.6}, {17, 72, 10, 0.6}, {59, 192, 6, 0.6}};
  for (const Fleet &Each : Fleets)
    for (const std::uint64_t Seed : {1, 2, 3}) {
      CAPTURE(Each.m_Gateways, Seed);
      CHECK(collisionFraction(Each, Seed) <= MaxCollisions);
    }
}
