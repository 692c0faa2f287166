// Tests the number of slots that an entry may use at the backend servers, and
// the free capacity of all entries. Guards against a reserve for urgent
// requests from a wrong count.
#include "Entry/RoutingState.h"

#include "Core/Hash.h"

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
  updateOtherEntry(State, "b",
                   {{{hash64("engine-0"), 5}, {hash64("engine-1"), 12}}, Now});
  CHECK(freeCapacity(State, Candidates, Request, Now) ==
        FreeCapacity{5 + 0 + 12, 4});
  Candidates.back().m_Avoided = true;
  CHECK(freeCapacity(State, Candidates, Request, Now) == FreeCapacity{5, 4});
}
