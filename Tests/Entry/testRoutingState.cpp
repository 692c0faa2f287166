// Tests the number of slots that an entry may use at the backend servers.
#include "Entry/RoutingState.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

struct SlotsCase {
  const char *m_Name;
  // Per server: the calls of this entry, and all calls according to the load
  // report.
  std::vector<std::pair<std::uint32_t, double>> m_Servers;
  bool m_Avoided = false;
  std::size_t m_OtherQueuedRequests = 0;
  std::size_t m_Slots = 0;
};

// With a limit of 12, four entries get 3 slots each; in a backlog 2 of 8.
const SlotsCase SlotsCases[] = {
    {"idle: the entry's part of each server", {{0, 0}, {0, 0}}, false, 0, 6},
    {"beyond its part one at a time, while slots are free",
     {{3, 3}, {0, 0}},
     false,
     0,
     7},
    {"full according to the load reports", {{3, 12}, {0, 12}}, false, 0, 6},
    {"in a backlog the parts are smaller", {{0, 0}, {0, 0}}, false, 1, 4},
    {"in a backlog in-flight calls still count", {{3, 9}, {0, 9}}, false, 1, 5},
    {"an avoided server offers nothing new", {{2, 2}}, true, 0, 2}};

} // namespace

TEST_CASE("an entry's slots depend on load reports, own calls and backlog") {
  for (const SlotsCase &Case : SlotsCases) {
    INFO(Case.m_Name);
    const TimePoint Now(1h);
    RoutingState State;
    State.m_EntryCount = 4;
    std::vector<Member> Members;
    for (const auto &[Own, Reported] : Case.m_Servers) {
      Member New;
      New.m_BackendServer = "engine-" + std::to_string(Members.size());
      New.m_ReportedLoad = Reported;
      New.m_LoadMeasuredAt = Now;
      State.m_OwnCalls[New.m_BackendServer].m_Requests = Own;
      Members.push_back(New);
    }
    std::vector<CandidateView> Candidates;
    Candidates.reserve(Members.size());
    for (const Member &Each : Members)
      Candidates.push_back({&Each, Case.m_Avoided});
    ChoiceRequest Request;
    Request.m_Service = "assistant";
    Request.m_MaxOutstanding = 12;
    Request.m_OtherQueuedRequests = Case.m_OtherQueuedRequests;
    CHECK(countSlots(State, Candidates, Request, Now) == Case.m_Slots);
  }
}

namespace {

// One gateway before two servers of a service with a cold rate.
struct ColdFixture {
  ColdFixture() {
    m_State.m_Cold.m_Options.m_BurstFactor = 1.5;
    m_State.m_Cold.m_Options.m_BurstSlack = 5.0;
    m_State.m_Cold.m_Rates["assistant"] = 14.0;
    updateGateways(m_State.m_Cold, {"g", {"g"}}, true, m_Now - 10s);
    for (const char *Name : {"cold", "warm"}) {
      m_Members.emplace_back();
      m_Members.back().m_BackendServer = Name;
      m_Members.back().m_Service = "assistant";
      m_Members.back().m_LoadMeasuredAt = m_Now;
    }
    m_Members[0].m_ColdUntil = m_Now + 1min;
  }

  // The server that gets a request, or nothing.
  std::string send(std::size_t Servers) {
    std::vector<CandidateView> Candidates;
    for (std::size_t I = 0; I < Servers; ++I)
      Candidates.push_back({&m_Members[I], false});
    ChoiceRequest Request;
    Request.m_Service = "assistant";
    Request.m_Policy = "score";
    Request.m_MaxOutstanding = 1000;
    const auto Chosen = chooseCandidate(m_State, Candidates, Request, m_Now);
    if (!Chosen)
      return "";
    BackendTarget Target;
    Target.m_Name = m_Members[*Chosen].m_BackendServer;
    Target.m_Service = "assistant";
    recordCallStarted(m_State, Target, {}, m_Now);
    return Target.m_Name;
  }

  const TimePoint m_Now{1h};
  RoutingState m_State;
  std::vector<Member> m_Members;
};

} // namespace

TEST_CASE("a cold server whose permits are used up gets no request") {
  ColdFixture F;
  for (int I = 0; I < 13; ++I)
    CHECK(F.send(1) == "cold");
  CHECK(F.send(1) == "");
  CHECK(F.m_State.m_HeldByAllowance == 1);
  CHECK(F.send(2) == "warm");
}

TEST_CASE("a cold server of a service without a cold rate gets any request") {
  ColdFixture F;
  F.m_State.m_Cold.m_Rates.clear();
  for (int I = 0; I < 100; ++I)
    CHECK(F.send(1) == "cold");
  CHECK(F.m_State.m_HeldByAllowance == 0);
}
