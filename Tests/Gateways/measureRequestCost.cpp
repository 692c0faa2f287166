// Connections to engines and latency of requests through four gateways, for
// comparisons of two builds on one machine; run with the tag [.measure].
#include "Gateways/CallerLoad.h"
#include "Gateways/EngineFleet.h"
#include "Gateways/GatewayDeployment.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <iostream>

using namespace mangocart;
using namespace mangocart::test;
using namespace std::chrono_literals;

namespace {

struct LatencySummary {
  std::size_t m_Requests = 0;
  std::size_t m_Answered = 0;
  double m_MedianMs = 0.0;
  double m_P99Ms = 0.0;
};

LatencySummary summarize(const std::deque<CallRecord> &Records,
                         std::size_t Kind) {
  LatencySummary Summary;
  std::vector<std::chrono::microseconds> Times;
  for (const CallRecord &Each : Records) {
    if (Each.m_Kind != Kind)
      continue;
    ++Summary.m_Requests;
    if (isAnswered(Each))
      Times.push_back(Each.m_EndedAfter);
  }
  Summary.m_Answered = Times.size();
  if (Times.empty())
    return Summary;
  std::sort(Times.begin(), Times.end());
  using Milliseconds = std::chrono::duration<double, std::milli>;
  Summary.m_MedianMs = Milliseconds(Times[Times.size() / 2]).count();
  Summary.m_P99Ms = Milliseconds(Times[Times.size() * 99 / 100]).count();
  return Summary;
}

} // namespace

TEST_CASE("connections and latency of requests through gateways",
          "[.][measure]") {
  GatewayDeployment Gateways(145, 4);
  Gateways.start();
  FleetOptions Options = fleetOptionsFor(Gateways);
  Options.m_FirstToken = 2ms;
  Options.m_EventInterval = 2ms;
  Options.m_Events = 5;
  EngineFleet Fleet(Options);
  Fleet.start();
  std::vector<HttpTarget> Targets;
  for (unsigned I = 0; I < Gateways.gatewayCount(); ++I)
    Targets.push_back(Gateways.gateway(I));
  const std::vector<CallerKind> Kinds = {{150.0, true, {}, {}},
                                         {100.0, false, {}, {}},
                                         {50.0, false, {}, {}, true}};
  CallerLoad Load(Targets, Kinds, 1);
  std::this_thread::sleep_for(4s);
  Load.start();
  std::this_thread::sleep_for(3s);
  const std::uint64_t Before = Fleet.connections();
  std::this_thread::sleep_for(20s);
  const std::uint64_t Opened = Fleet.connections() - Before;
  const auto &Records = Load.finish();
  std::cout << fmt::format("{} connections to engines in 20 s\n", Opened);
  for (std::size_t Kind = 0; Kind < Kinds.size(); ++Kind) {
    const LatencySummary Found = summarize(Records, Kind);
    std::cout << fmt::format(
        "kind {}: {} of {} answered, median {:.2f} ms, 99th {:.2f} ms\n", Kind,
        Found.m_Answered, Found.m_Requests, Found.m_MedianMs, Found.m_P99Ms);
    CHECK(Found.m_Answered > 0);
  }
}
