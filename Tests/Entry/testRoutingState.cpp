// The places that an entry may use at the backend servers.
#include "Entry/RoutingState.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

struct PlacesCase {
  const char *m_Name;
  // Per server: the entry's own calls there, and all calls by its report.
  std::vector<std::pair<std::uint32_t, double>> m_Servers;
  bool m_Avoided = false;
  std::size_t m_OthersWaiting = 0;
  std::size_t m_Places = 0;
};

// Of a bound of 12, four entries have 3 each; in a backlog 2 of 8.
const PlacesCase PlacesCases[] = {
    {"idle: the entry's part of each", {{0, 0}, {0, 0}}, false, 0, 6},
    {"beyond its part one at a time, while there are free places",
     {{3, 3}, {0, 0}},
     false,
     0,
     7},
    {"full by the reports", {{3, 12}, {0, 12}}, false, 0, 6},
    {"in a backlog the parts are smaller", {{0, 0}, {0, 0}}, false, 1, 4},
    {"in a backlog what is under way counts on", {{3, 9}, {0, 9}}, false, 1, 5},
    {"an avoided server offers nothing new", {{2, 2}}, true, 0, 2}};

} // namespace

TEST_CASE("an entry's places by reports, own work and backlog") {
  for (const PlacesCase &Case : PlacesCases) {
    INFO(Case.m_Name);
    const TimePoint Now(1h);
    RoutingTable Table;
    Table.m_EntryCount = 4;
    std::vector<Member> Members;
    for (const auto &[Own, Reported] : Case.m_Servers) {
      Member New;
      New.m_BackendServer = "engine-" + std::to_string(Members.size());
      New.m_ReportedLoad = Reported;
      New.m_LoadMeasuredAt = Now;
      Table.m_Own[New.m_BackendServer].m_Requests = Own;
      Members.push_back(New);
    }
    std::vector<CandidateView> Candidates;
    Candidates.reserve(Members.size());
    for (const Member &Each : Members)
      Candidates.push_back({&Each, Case.m_Avoided});
    ChoiceRequest Request;
    Request.m_Service = "assistant";
    Request.m_MaxOutstanding = 12;
    Request.m_OthersWaiting = Case.m_OthersWaiting;
    CHECK(countPlaces(Table, Candidates, Request, Now) == Case.m_Places);
  }
}
