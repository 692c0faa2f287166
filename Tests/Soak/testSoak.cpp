// Voters, gateways and faulty replicas under faults that come in series and at
// once. What callers, operators and replicas see must keep the promises: the
// answer is the request's own and whole, a request that isn't idempotent runs
// once, a refused one never, the configuration is never older than what was
// acknowledged, and a replica that has left gets no requests.
//
// MANGOCART_SEED names the seed, MANGOCART_SOAK_CYCLES the number of cycles of
// calm, departure, faults and calm, MANGOCART_SOAK_GATEWAYS the number of
// gateways. Several at a time need other values of MANGOCART_SOAK_OCTET.
#include "Soak/ReplicaFleet.h"
#include "Soak/SoakCallers.h"
#include "Soak/SoakParameters.h"
#include "Soak/SoakSystem.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <thread>

using namespace mangocart;
using namespace mangocart::test;
using namespace std::chrono_literals;

namespace {

// The bounds of the platform's smallest site: how long a replica may still get
// requests after its departure, and how long nothing must be disturbed before
// the bound holds.
constexpr auto DrainTime = 2000ms;
constexpr auto StableWindow = 3000ms;
// For the clocks of the test's threads.
constexpr auto Tolerance = 300ms;

struct Departure {
  std::string m_Replica;
  SoakClock::time_point m_AcknowledgedAt;
};

void findRunsTwice(const std::map<std::string, SentRequest> &Requests,
                   const std::vector<SoakRun> &Runs, Findings &Found) {
  std::map<std::string, unsigned> Counts;
  for (const SoakRun &Run : Runs)
    ++Counts[Run.m_RequestId];
  for (const auto &[Id, Count] : Counts) {
    const auto Sent = Requests.find(Id);
    if (Sent == Requests.end()) {
      Found.add(fmt::format("{} has run, but no caller sent it", Id));
      continue;
    }
    const SentRequest &Request = Sent->second;
    if (Request.m_IsUnsafe && Count > 1)
      Found.add(fmt::format("{} has run {} times", Id, Count));
    if (Request.m_IsUnsafe &&
        (Request.m_Status == 503 || Request.m_Status == 429))
      Found.add(fmt::format("{} was refused with {} and has run", Id,
                            Request.m_Status));
  }
}

// Requests that reach a replica too late after its departure, sent while all
// processes were in touch.
void findLateArrivals(const std::vector<Departure> &Departures,
                      const std::map<std::string, SentRequest> &Requests,
                      const std::vector<SoakRun> &Runs,
                      const FaultRecord &Faults, Findings &Found) {
  for (const Departure &Left : Departures)
    for (const SoakRun &Run : Runs) {
      if (Run.m_Replica != Left.m_Replica ||
          Run.m_At <= Left.m_AcknowledgedAt + DrainTime + Tolerance)
        continue;
      const auto Sent = Requests.find(Run.m_RequestId);
      if (Sent == Requests.end() ||
          !Faults.isCalm(Run.m_At,
                         std::chrono::duration_cast<std::chrono::milliseconds>(
                             Run.m_At - Sent->second.m_At) +
                             StableWindow + Tolerance))
        continue;
      Found.add(fmt::format(
          "{} reached {} {} ms after its departure was acknowledged",
          Run.m_RequestId, Run.m_Replica,
          std::chrono::duration_cast<std::chrono::milliseconds>(
              Run.m_At - Left.m_AcknowledgedAt)
              .count()));
    }
}

} // namespace

TEST_CASE("the promises hold under faults", "[soak]") {
  const auto [Seed, Cycles, Gateways, Octet] = soakParameters();
  INFO("seed " << Seed);
  Random Generator(Seed);
  SoakSystem System(Octet, Gateways, Seed);
  System.start();
  ReplicaFleet Replicas(System, Seed);
  Findings Found;
  std::vector<Departure> Departures;
  std::this_thread::sleep_for(2s);
  SoakCallers Callers(System, Seed, Found);
  for (std::uint64_t Cycle = 0; Cycle < Cycles; ++Cycle) {
    std::this_thread::sleep_for(StableWindow + 1500ms);
    const auto Place = uniform(Generator, 0, 2) == 0
                           ? static_cast<unsigned>(uniform(
                                 Generator, 0, ReplicaFleet::Places - 1))
                           : ReplicaFleet::LonePlace;
    const auto Voter =
        static_cast<unsigned>(uniform(Generator, 0, SoakSystem::Voters - 1));
    Replicas.stopHeartbeats(Place);
    CHECK(call(System.control(Voter),
               {"DELETE",
                "/instances/" + Replicas.name(Place),
                {{"Host", "voter"}},
                {},
                {}},
               1s)
              .m_Head.m_Status == 200);
    Departures.push_back({Replicas.name(Place), SoakClock::now()});
    System.inflictFaults(3s, uniform(Generator, 0, 1) == 0
                                 ? std::optional(Voter)
                                 : std::nullopt);
    std::this_thread::sleep_for(StableWindow + 3s);
    Replicas.endReplica(Place);
    Replicas.startReplica(Place);
  }
  std::this_thread::sleep_for(StableWindow);
  Callers.stop();
  if (const std::string Failed = System.findFailed(); !Failed.empty())
    Found.add(Failed);
  for (unsigned I = 0; I < SoakSystem::Voters; ++I) {
    const HttpResponse Read =
        call(System.control(I), {"GET", "/config", {{"Host", "v"}}, {}, {}});
    if (versionOf(Read.m_Body) < Callers.acknowledgedVersion())
      Found.add(fmt::format("voter {} answers {} with version {} at the end, "
                            "{} was acknowledged",
                            I, Read.m_Head.m_Status, versionOf(Read.m_Body),
                            Callers.acknowledgedVersion()));
  }
  const std::vector<SoakRun> Runs = Replicas.runs();
  findRunsTwice(Callers.requests(), Runs, Found);
  findLateArrivals(Departures, Callers.requests(), Runs, System.faults(),
                   Found);
  const auto &Requests = Callers.requests();
  const auto Answered =
      std::count_if(Requests.begin(), Requests.end(), [](const auto &Each) {
        return Each.second.m_Status == 200;
      });
  WARN(fmt::format("seed {}: {} requests, {} answered, {} runs, {} "
                   "disturbances, {} lost disks, version {}, {} findings",
                   Seed, Requests.size(), Answered, Runs.size(),
                   System.faults().count(), System.lostDisks(),
                   Callers.acknowledgedVersion(), Found.lines().size()));
  for (const std::string &Line : Found.lines())
    FAIL_CHECK(Line);
  CHECK(Answered > 100);
}
