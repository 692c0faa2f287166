// Allowances of cold servers. Guards against gateways that together send a cold
// server more in a second than it bears, because their lists of gateways
// differ, because a new process doesn't know what its predecessor has sent, or
// because nobody knows yet that the server is cold; and against allowances that
// stay unused while callers wait.
#include "ColdFleet.h"
#include "SeedRange.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

constexpr double Rate = 14.0;
// Rate x 1.5 + 5, see docs/design/README.md.
constexpr std::size_t MaxInSecond = 26;
constexpr std::size_t Sizes[] = {4, 16, 59};
constexpr std::uint64_t Seeds = 6;
// Ten windows. In a span that isn't a multiple of a window the count depends on
// its ends (9 or 10 uses of a permit in 10 s).
constexpr Duration MeasuredTime = 10100ms;

ColdFleetOptions options(std::size_t Gateways, std::uint64_t Seed) {
  ColdFleetOptions Options;
  Options.m_Gateways = Gateways;
  Options.m_Seed = Seed;
  return Options;
}

// Calls the function with a new fleet of each size for each seed, and checks
// the bound after it.
template <class Function>
void forFleets(bool IsAnnounced, const Function &Test) {
  const SeedRange Range = seedsToRun(1, Seeds);
  for (const std::size_t Size : Sizes)
    for (std::uint64_t Seed = Range.m_First; Seed <= Range.m_Last; ++Seed) {
      INFO(Size << " gateways, seed " << Seed);
      ColdFleetOptions Options = options(Size, Seed);
      Options.m_IsAnnounced = IsAnnounced;
      ColdFleet Fleet(Options);
      Fleet.run(4s);
      Test(Fleet, Options);
      CHECK(Fleet.mostInSecond() <= MaxInSecond);
    }
}

void allCold(ColdFleet &Fleet, const ColdFleetOptions &Options, Duration For) {
  for (std::size_t S = 0; S < Options.m_Servers; ++S)
    Fleet.becomeCold(S, For);
}

double usedFraction(const ColdFleet &Fleet, const ColdFleetOptions &Options,
                    TimePoint Since) {
  const double Seconds =
      std::chrono::duration<double>(Fleet.now() - Since).count();
  return static_cast<double>(Fleet.coldArrivals(Since)) /
         (Rate * Seconds * static_cast<double>(Options.m_Servers));
}

GatewayList listOf(std::size_t Count, std::size_t Self) {
  GatewayList List;
  for (std::size_t I = 0; I < Count; ++I)
    List.m_All.push_back("g" + std::to_string(I));
  List.m_Self = List.m_All[Self];
  return List;
}

ColdAllowance allowance(std::size_t Count, std::size_t Self, TimePoint Now) {
  ColdAllowance Cold;
  Cold.m_Options.m_BurstFactor = 1.5;
  Cold.m_Options.m_BurstSlack = 5.0;
  Cold.m_Rates["llm"] = Rate;
  updateGateways(Cold, listOf(Count, Self), true, Now);
  return Cold;
}

const TimePoint Start(1000s);
const ColdQuery ColdOne{"e", "llm", Start + 1h};
const ColdQuery WarmOne{"e", "llm", {}};

} // namespace

TEST_CASE("the permits use 0.9 of the rate, twice as many keep the bound") {
  ColdAllowanceOptions Options;
  Options.m_BurstFactor = 1.5;
  Options.m_BurstSlack = 5.0;
  for (const double Each : {0.1, 0.5, 1.0, 2.5, 6.0, 14.0}) {
    INFO(Each << " requests a second");
    const ColdPermits All = coldPermits(Options, Each);
    const double Seconds = std::chrono::duration<double>(All.m_Window).count();
    CHECK(Seconds > 1.0);
    CHECK(static_cast<double>(All.m_Count) / Seconds >= 0.9 * Each);
    CHECK(static_cast<double>(All.m_Count) / Seconds <= Each * 1.0001);
    CHECK(static_cast<double>(2 * All.m_Count) <= 1.5 * Each + 5.0);
    CHECK(static_cast<double>(All.m_Count + All.m_Reserve) <= 1.5 * Each + 5.0);
  }
  // Without any tolerance for bursts.
  CHECK(coldPermits({}, Rate).m_Count == 13);
}

TEST_CASE("the parts of all gateways are the permits") {
  for (const std::size_t Count : {1U, 4U, 16U, 59U, 370U}) {
    std::size_t Sum = 0;
    std::size_t WithReserve = 0;
    for (std::size_t Self = 0; Self < Count; ++Self) {
      const ColdAllowance Cold = allowance(Count, Self, Start);
      Sum += ownPermits(Cold, ColdOne, Start + 2s);
      ColdQuery Reserve = WarmOne;
      Reserve.m_MayUseReserve = true;
      WithReserve += ownPermits(Cold, Reserve, Start + 2s);
    }
    INFO(Count << " gateways");
    CHECK(Sum == 13);
    CHECK(WithReserve <= MaxInSecond);
  }
}

TEST_CASE("a service without a cold rate is unlimited") {
  ColdAllowance Cold = allowance(4, 0, Start);
  const ColdQuery Other{"e", "forms", Start + 1h};
  for (int I = 0; I < 100; ++I)
    recordColdSent(Cold, "e", "forms", Start);
  CHECK(nextAllowed(Cold, Other, Start) == Start);
  CHECK(Cold.m_Servers.empty());
}

TEST_CASE("a gateway sends nothing to cold servers until its list is common") {
  ColdAllowance Cold = allowance(4, 0, Start);
  CHECK_FALSE(nextAllowed(Cold, ColdOne, Start + 1900ms));
  CHECK(nextAllowed(Cold, WarmOne, Start + 1ms));
  CHECK(nextAllowed(Cold, ColdOne, Start + 2s));
  // Fewer than a majority of the voters may not name all gateways.
  ColdAllowance Unconfirmed;
  Unconfirmed.m_Rates["llm"] = Rate;
  updateGateways(Unconfirmed, listOf(4, 0), false, Start);
  CHECK_FALSE(nextAllowed(Unconfirmed, ColdOne, Start + 10s));
}

TEST_CASE("a larger part is used late, a smaller one at once") {
  ColdAllowance Cold = allowance(1, 0, Start);
  CHECK(ownPermits(Cold, ColdOne, Start + 2s) == 13);
  updateGateways(Cold, listOf(13, 0), true, Start + 2s);
  CHECK(ownPermits(Cold, ColdOne, Start + 2s) == 1);
  // The others have vanished, but may still send.
  TimePoint Now = Start + 2s;
  for (; Now < Start + 31900ms; Now += 500ms)
    updateGateways(Cold, listOf(1, 0), true, Now);
  CHECK(ownPermits(Cold, ColdOne, Now) == 1);
  for (; Now <= Start + 34500ms; Now += 500ms)
    updateGateways(Cold, listOf(1, 0), true, Now);
  CHECK(ownPermits(Cold, ColdOne, Now) == 13);
}

TEST_CASE("a gateway that is cut off keeps its part") {
  ColdAllowance Cold = allowance(13, 0, Start);
  for (TimePoint Now = Start; Now < Start + 200s; Now += 500ms)
    updateGateways(Cold, listOf(1, 0), false, Now);
  CHECK(ownPermits(Cold, ColdOne, Start + 200s) == 1);
}

TEST_CASE("an answer of a server that isn't cold frees its permit") {
  ColdAllowance Cold = allowance(13, 0, Start);
  const TimePoint Now = Start + 5s;
  recordColdSent(Cold, "e", "llm", Now);
  CHECK(*nextAllowed(Cold, WarmOne, Now) == Now + 1010ms);
  // An answer to an earlier request.
  recordColdAnswer(Cold, "e", 0s, Now - 1ms, Now + 50ms);
  CHECK(*nextAllowed(Cold, WarmOne, Now + 50ms) == Now + 1010ms);
  recordColdAnswer(Cold, "e", 0s, Now + 1ms, Now + 100ms);
  CHECK(*nextAllowed(Cold, WarmOne, Now + 100ms) == Now + 100ms);
  // Once it is cold, all requests of the last second count.
  recordColdAnswer(Cold, "e", 3s, Now + 2ms, Now + 200ms);
  CHECK(*nextAllowed(Cold, WarmOne, Now + 200ms) == Now + 1010ms);
}

TEST_CASE("a zone returns cold with its callers waiting") {
  forFleets(true, [](ColdFleet &Fleet, const ColdFleetOptions &Options) {
    allCold(Fleet, Options, 60s);
    // The announcements arrive within 500 ms.
    Fleet.run(500ms);
    const TimePoint Known = Fleet.now();
    Fleet.run(20s);
    CHECK(usedFraction(Fleet, Options, Known) >= 0.9);
  });
}

TEST_CASE("a gateway restarts while a server is cold") {
  forFleets(true, [](ColdFleet &Fleet, const ColdFleetOptions &Options) {
    allCold(Fleet, Options, 10min);
    for (int I = 0; I < 10; ++I) {
      Fleet.run(std::chrono::milliseconds(uniform(Fleet.random(), 100, 2500)));
      // One, half or all of them at once.
      const std::size_t Part = uniform(Fleet.random(), 0, 2);
      for (std::size_t G = 0; G < Fleet.gateways(); ++G)
        if (Part == 2 || (Part == 1 && G % 2 == 0) || G == 1)
          Fleet.restart(
              G, std::chrono::milliseconds(uniform(Fleet.random(), 0, 3000)));
    }
    // Down for 3 s at most, then without a part for 2 s.
    Fleet.run(6s);
    const TimePoint Known = Fleet.now();
    Fleet.run(MeasuredTime);
    CHECK(usedFraction(Fleet, Options, Known) >= 0.9);
  });
}

TEST_CASE("a server becomes cold without a word") {
  forFleets(false, [](ColdFleet &Fleet, const ColdFleetOptions &Options) {
    for (int I = 0; I < 6; ++I) {
      Fleet.run(std::chrono::milliseconds(uniform(Fleet.random(), 500, 4000)));
      allCold(Fleet, Options,
              std::chrono::milliseconds(uniform(Fleet.random(), 300, 5000)));
      if (I % 2 == 1)
        Fleet.restart(uniform(Fleet.random(), 0, Fleet.gateways() - 1), 200ms);
      Fleet.run(6s);
    }
  });
}

TEST_CASE("halves are cut off, and a server becomes cold without a word") {
  forFleets(false, [](ColdFleet &Fleet, const ColdFleetOptions &Options) {
    for (std::size_t G = 0; G < Fleet.gateways(); ++G)
      Fleet.connect(G, G % 2 == 0 ? std::set<std::size_t>{0, 1}
                                  : std::set<std::size_t>{2, 3, 4, 5});
    for (int I = 0; I < 8; ++I) {
      Fleet.run(std::chrono::milliseconds(uniform(Fleet.random(), 3000, 8000)));
      allCold(Fleet, Options, 3s);
    }
    Fleet.run(2s);
  });
}

TEST_CASE("halves are cut off from each other for longer than lists are kept") {
  forFleets(true, [](ColdFleet &Fleet, const ColdFleetOptions &Options) {
    allCold(Fleet, Options, 10min);
    for (std::size_t G = 0; G < Fleet.gateways(); G += 2)
      Fleet.connect(G, {0, 1});
    for (std::size_t G = 1; G < Fleet.gateways(); G += 2)
      Fleet.connect(G, {2, 3, 4, 5});
    Fleet.run(40s);
    for (std::size_t G = 0; G < Fleet.gateways(); ++G)
      if (uniform(Fleet.random(), 0, 3) == 0)
        Fleet.restart(G, 100ms);
    Fleet.run(5s);
    for (std::size_t G = 0; G < Fleet.gateways(); ++G)
      Fleet.connectAll(G);
    Fleet.run(5s);
    const TimePoint Healed = Fleet.now();
    Fleet.run(MeasuredTime);
    CHECK(usedFraction(Fleet, Options, Healed) >= 0.9);
  });
}

TEST_CASE("gateways are cut off, killed, started anew and added at random") {
  forFleets(true, [](ColdFleet &Fleet, const ColdFleetOptions &Options) {
    allCold(Fleet, Options, 10min);
    for (int I = 0; I < 25; ++I) {
      const std::size_t G = uniform(Fleet.random(), 0, Fleet.gateways() - 1);
      switch (uniform(Fleet.random(), 0, 5)) {
      case 0:
        Fleet.connect(G, {});
        break;
      case 1:
        Fleet.connect(G, {uniform(Fleet.random(), 0, 5)});
        break;
      case 2:
        Fleet.restart(
            G, std::chrono::milliseconds(uniform(Fleet.random(), 0, 40000)));
        break;
      case 3:
        for (std::size_t Each = 0; Each < Fleet.gateways(); ++Each)
          Fleet.connectAll(Each);
        break;
      case 4:
        if (Fleet.gateways() < 2 * Options.m_Gateways)
          for (std::size_t N = 0; N < Options.m_Gateways / 4; ++N)
            Fleet.add();
        break;
      default:
        Fleet.becomeCold(uniform(Fleet.random(), 0, Options.m_Servers - 1),
                         10min);
        break;
      }
      Fleet.run(std::chrono::milliseconds(uniform(Fleet.random(), 100, 6000)));
    }
  });
}
