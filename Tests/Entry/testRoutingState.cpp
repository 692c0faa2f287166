// Tests the number of slots that an entry may use at the backend servers, and
// the choice by pending prompt tokens, and the free capacity of all entries.
// Prompts must not queue at one server while others have none, nothing may
// change for services without an engine, and a wrong count must not mislead the
// reserve for urgent requests.
#include "Entry/RoutingState.h"

#include "Core/Hash.h"

#include <catch2/catch.hpp>

#include <cstdio>

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

// Four idle servers "engine-0" to "engine-3".
struct Fleet {
  Fleet() {
    for (int I = 0; I < 4; ++I) {
      Member New;
      New.m_BackendServer = "engine-" + std::to_string(I);
      New.m_Service = "assistant";
      m_Members.push_back(New);
    }
    for (const Member &Each : m_Members)
      m_Candidates.push_back({&Each, false});
    m_State.m_GatewayPosition = {0, 1};
    m_State.m_Random.seed(1);
  }

  BackendTarget target(std::size_t Server) const {
    BackendTarget Target;
    Target.m_Name = m_Members[Server].m_BackendServer;
    Target.m_Service = "assistant";
    return Target;
  }

  std::optional<std::size_t> choose(std::uint64_t PrefillTokensPerPass) {
    ChoiceRequest Request;
    Request.m_Service = "assistant";
    Request.m_Policy = "score";
    Request.m_MaxOutstanding = 10;
    Request.m_Size = {0, 500, 600, true};
    Request.m_PrefillTokensPerPass = PrefillTokensPerPass;
    return chooseCandidate(m_State, m_Candidates, Request, m_Now);
  }

  void start(std::size_t Server, std::uint64_t PromptTokens) {
    recordCallStarted(m_State, target(Server),
                      {0, PromptTokens, PromptTokens + 100, true}, m_Now);
  }

  void end(std::size_t Server, std::uint64_t PromptTokens, bool HasBegun) {
    recordCallEnded(m_State, target(Server),
                    {0, PromptTokens, PromptTokens + 100, true},
                    {CallResult::Answered, 1s, HasBegun}, m_Now);
  }

  TimePoint m_Now{1h};
  RoutingState m_State;
  std::vector<Member> m_Members;
  std::vector<CandidateView> m_Candidates;
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

TEST_CASE("a prompt is pending from its start until its answer or its end") {
  Fleet Servers;
  const PromptTokensByServer &Pending =
      Servers.m_State.m_OwnPendingPromptTokens;
  const std::uint64_t Engine = hash64("engine-0");
  Servers.start(0, 700);
  Servers.start(0, 2000);
  CHECK(Pending == PromptTokensByServer{{Engine, 2700}});
  recordAnswerBegan(Servers.m_State, Servers.target(0), {0, 700, 800, true});
  CHECK(Pending == PromptTokensByServer{{Engine, 2000}});
  Servers.end(0, 700, true);
  CHECK(Pending == PromptTokensByServer{{Engine, 2000}});
  Servers.end(0, 2000, false);
  CHECK(Pending.empty());
}

TEST_CASE("prompts go to servers without pending ones, of this gateway and of "
          "others, while their reports are recent") {
  Fleet Servers;
  Servers.start(0, 2900);
  OutstandingCalls Other;
  Other.m_Heard = Servers.m_Now;
  Other.m_Requests = {{hash64("engine-1"), 1}, {hash64("engine-3"), 1}};
  Other.m_PendingPromptTokens = {{hash64("engine-1"), 2800}};
  updateOtherEntry(Servers.m_State, "g2", Other);
  for (int I = 0; I < 20; ++I)
    CHECK(Servers.choose(3072) == 2);
  // Fewest requests among those with a free pass.
  Servers.start(2, 100);
  Servers.start(2, 100);
  for (int I = 0; I < 20; ++I)
    CHECK(Servers.choose(3072) == 3);
  // Nothing is known any more of a gateway that has been silent.
  Servers.m_Now += 3s;
  for (int I = 0; I < 20; ++I) {
    const auto Chosen = Servers.choose(3072);
    CHECK((Chosen == 1 || Chosen == 3));
  }
}

TEST_CASE("a service without an engine is chosen as before") {
  // Pending prompt tokens and the position change neither the choice nor the
  // use of the random generator.
  Fleet With;
  Fleet Without;
  Without.m_State.m_GatewayPosition = {};
  for (int I = 0; I < 200; ++I) {
    OutstandingCalls Other;
    Other.m_Heard = With.m_Now;
    Other.m_Requests = {{hash64("engine-1"), 1 + I % 3}};
    updateOtherEntry(Without.m_State, "g2", Other);
    Other.m_PendingPromptTokens = {{hash64("engine-1"), 100000}};
    updateOtherEntry(With.m_State, "g2", Other);
    const auto Chosen = With.choose(0);
    REQUIRE(Chosen);
    REQUIRE(Chosen == Without.choose(0));
    With.start(*Chosen, 500);
    Without.start(*Chosen, 500);
    Without.m_State.m_OwnPendingPromptTokens.clear();
    With.end(*Chosen, 500, false);
    Without.end(*Chosen, 500, false);
  }
}

TEST_CASE("full, avoided and failed servers are left out by the spread too") {
  Fleet Servers;
  for (int I = 0; I < 10; ++I)
    Servers.start(0, 0);
  Servers.m_Candidates[1].m_Avoided = true;
  Servers.start(2, 2900);
  Servers.start(3, 2900);
  for (int I = 0; I < 20; ++I) {
    const auto Chosen = Servers.choose(3072);
    CHECK((Chosen == 2 || Chosen == 3));
  }
}

// Prints the time of a choice for docs/design/LONG-PROMPTS.md.
TEST_CASE("time of a choice among 72 servers with 30 gateways",
          "[.choice-time]") {
  constexpr int Servers = 72;
  constexpr int Others = 29;
  constexpr int Choices = 2000;
  Fleet All;
  All.m_Members.clear();
  All.m_Candidates.clear();
  for (int I = 0; I < Servers; ++I) {
    Member New;
    New.m_BackendServer = "engine-" + std::to_string(I);
    New.m_Service = "assistant";
    All.m_Members.push_back(New);
  }
  for (const Member &Each : All.m_Members)
    All.m_Candidates.push_back({&Each, false});
  for (int G = 0; G < Others; ++G) {
    OutstandingCalls Other;
    Other.m_Heard = All.m_Now;
    for (int I = G % 6; I < Servers; I += 6)
      Other.m_Requests[hash64("engine-" + std::to_string(I))] = 1;
    for (int I = G; I < G + 4; ++I)
      Other.m_PendingPromptTokens[hash64("engine-" + std::to_string(I))] = 800;
    updateOtherEntry(All.m_State, "g" + std::to_string(G), Other);
  }
  for (const std::uint64_t PerPass : {0, 3072}) {
    const auto Begin = std::chrono::steady_clock::now();
    for (int I = 0; I < Choices; ++I)
      CHECK(All.choose(PerPass));
    const std::chrono::duration<double, std::micro> Time =
        std::chrono::steady_clock::now() - Begin;
    std::printf("%s: %.1f us a choice\n", PerPass == 0 ? "score" : "spread",
                Time.count() / Choices);
  }
}

TEST_CASE("the free capacity of a service counts the calls of all entries that "
          "report, and otherwise the entry's own part") {
  const TimePoint Now(1h);
  RoutingState State;
  State.m_EntryCount = 4;
  std::vector<Member> Members(3);
  std::vector<CandidateView> Candidates;
  for (std::size_t I = 0; I < Members.size(); ++I) {
    Members[I].m_BackendServer = "engine-" + std::to_string(I);
    Members[I].m_LoadMeasuredAt = Now;
    Candidates.push_back({&Members[I], false});
  }
  State.m_OwnCalls["engine-0"].m_Requests = 2;
  ChoiceRequest Request;
  Request.m_Service = "assistant";
  Request.m_MaxOutstanding = 12;
  CHECK(freeCapacity(State, Candidates, Request, Now) ==
        FreeCapacity{1 + 3 + 3, 4});
  OutstandingCalls Other;
  Other.m_Heard = Now;
  Other.m_Requests = {{hash64("engine-0"), 5}, {hash64("engine-1"), 12}};
  updateOtherEntry(State, "b", Other);
  CHECK(freeCapacity(State, Candidates, Request, Now) ==
        FreeCapacity{5 + 0 + 12, 4});
  Candidates.back().m_Avoided = true;
  CHECK(freeCapacity(State, Candidates, Request, Now) == FreeCapacity{5, 4});
}
