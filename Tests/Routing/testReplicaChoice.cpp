// Tests which candidates each policy may choose, affinity under a load bound,
// and cache hints with late events and gaps.
#include "Routing/CacheHints.h"
#include "Routing/ReplicaChoice.h"

#include <catch2/catch.hpp>

#include <set>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

using Candidates = std::vector<ReplicaCandidate>;

// Servers 1 to n, alternating between two zones.
Candidates servers(std::size_t Count) {
  Candidates Made(Count);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Made[Index].m_BackendServer = Index + 1;
    Made[Index].m_AvailabilityZone = static_cast<std::uint32_t>(Index % 2);
  }
  return Made;
}

// The set of candidates chosen in many runs.
std::set<std::size_t> chosen(const Candidates &From,
                             const RoutedRequest &Request,
                             const ReplicaChoiceOptions &Options) {
  Random Generator(3);
  ReplicaChoiceState State;
  std::set<std::size_t> Seen;
  for (int Round = 0; Round < 300; ++Round)
    Seen.insert(
        chooseReplica(From, Request, Options, State, Generator).value());
  return Seen;
}

ReplicaChoiceOptions withPolicy(std::string_view Name) {
  ReplicaChoiceOptions Options;
  Options.m_Policy = parseRoutingPolicy(Name).value();
  return Options;
}

} // namespace

TEST_CASE("no policy chooses an excluded candidate") {
  using Set = std::set<std::size_t>;
  struct Row {
    const char *m_Case;
    void (*m_Change)(Candidates &, RoutedRequest &);
    Set m_Allowed;
  };
  const Row Rows[] = {
      {"ejected", [](auto &C, auto &) { C[1].m_Ejected = true; }, {0, 2, 3}},
      {"suspect", [](auto &C, auto &) { C[1].m_Suspect = true; }, {0, 2, 3}},
      {"all suspect or ejected: the observer is at fault",
       [](auto &C, auto &) {
         for (ReplicaCandidate &Each : C)
           (Each.m_AvailabilityZone == 0 ? Each.m_Suspect : Each.m_Ejected) =
               true;
       },
       {0, 1, 2, 3}},
      {"zone that just failed",
       [](auto &, auto &R) { R.m_AvoidZone = 0; },
       {1, 3}},
      {"server that just failed is the only healthy one",
       [](auto &C, auto &R) {
         R.m_AvoidBackendServer = 1;
         C[1].m_Ejected = C[2].m_Ejected = C[3].m_Ejected = true;
       },
       {0}},
      {"zone to avoid has the only healthy servers",
       [](auto &C, auto &R) {
         R.m_AvoidZone = 0;
         C[1].m_Suspect = C[3].m_Suspect = true;
       },
       {0, 2}}};
  for (const Row &Each : Rows)
    for (const char *Policy :
         {"score", "round-robin", "least-outstanding", "random"}) {
      Candidates From = servers(4);
      RoutedRequest Request;
      Each.m_Change(From, Request);
      CAPTURE(Each.m_Case, Policy);
      for (const std::size_t Index : chosen(From, Request, withPolicy(Policy)))
        CHECK(Each.m_Allowed.contains(Index));
    }
}

TEST_CASE("policy names, empty candidate list, order") {
  Random Generator(1);
  ReplicaChoiceState State;
  CHECK_FALSE(chooseReplica({}, {}, {}, State, Generator).has_value());
  CHECK_FALSE(parseRoutingPolicy("fastest").has_value());
  CHECK(toString(RoutingPolicy::LeastOutstanding) == "least-outstanding");
  const Candidates From = servers(3);
  for (std::size_t Round = 0; Round < 6; ++Round)
    CHECK(chooseReplica(From, {}, withPolicy("round-robin"), State,
                        Generator) == Round % 3);
  Candidates Busy = servers(3);
  Busy[0].m_OutstandingRequests = Busy[2].m_OutstandingRequests = 2;
  CHECK(chosen(Busy, {}, withPolicy("least-outstanding")) ==
        std::set<std::size_t>{1});
}

TEST_CASE("the score depends on each of its terms") {
  struct Row {
    const char *m_Case;
    void (*m_Worsen)(ReplicaCandidate &);
  };
  const Row Rows[] = {
      {"outstanding tokens of this entry",
       [](ReplicaCandidate &C) { C.m_OutstandingTokens = 100; }},
      {"reported tokens",
       [](ReplicaCandidate &C) { C.m_ReportedTokens = 100; }},
      {"zone", [](ReplicaCandidate &C) { C.m_AvailabilityZone = 9; }},
      {"ramp-up after an ejection",
       [](ReplicaCandidate &C) { C.m_TrafficShare = 0.1; }},
      {"cold cache", [](ReplicaCandidate &C) { C.m_CachedTokens = 0; }}};
  for (const Row &Each : Rows) {
    Candidates From = servers(2);
    for (ReplicaCandidate &Own : From) {
      Own.m_AvailabilityZone = 0;
      Own.m_CachedTokens = 500;
    }
    Each.m_Worsen(From[0]);
    ReplicaChoiceOptions Options;
    Options.m_SampleSize = 20;
    const RoutedRequest Request{0, 1000, 100, 0, {}, {}};
    CAPTURE(Each.m_Case);
    CHECK(chosen(From, Request, Options) == std::set<std::size_t>{1});
  }
}

TEST_CASE("a load report decays with age, own requests do not") {
  ReplicaCandidate Candidate;
  Candidate.m_OutstandingTokens = 10;
  Candidate.m_ReportedTokens = 110;
  CHECK(expectedLoad(Candidate, {}) == Approx(110));
  Candidate.m_ReportAge = ReplicaChoiceOptions().m_ReportHalfLife;
  CHECK(expectedLoad(Candidate, {}) == Approx(60));
  Candidate.m_ReportAge = 1h;
  CHECK(expectedLoad(Candidate, {}) == Approx(10));
}

TEST_CASE("affinity is stable, bounded by load, and remaps few prefixes") {
  const ReplicaChoiceOptions Options;
  Candidates From = servers(12);
  std::vector<std::size_t> All;
  for (std::size_t Index = 0; Index < From.size(); ++Index)
    All.push_back(Index);
  const std::vector<std::size_t> WithoutLast(All.begin(), All.end() - 1);
  std::size_t Moved = 0;
  std::vector<int> PerServer(12);
  constexpr std::uint64_t Prefixes = 1200;
  for (std::uint64_t Prefix = 1; Prefix <= Prefixes; ++Prefix) {
    RoutedRequest Request{Prefix * 0x9e3779b97f4a7c15ULL, 100, 10, 0, {}, {}};
    const auto Before = affinityReplica(From, All, Request, Options);
    ++PerServer[Before.value()];
    if (Before == affinityReplica(From, WithoutLast, Request, Options))
      continue;
    ++Moved;
    CHECK(Before == 11U);
  }
  CHECK(Moved == static_cast<std::size_t>(PerServer[11]));
  for (const int Count : PerServer)
    CHECK((Count > 60 && Count < 140));

  const RoutedRequest Request{77, 100, 10, 0, {}, {}};
  const std::size_t Home = affinityReplica(From, All, Request, Options).value();
  From[Home].m_OutstandingTokens = 1000;
  CHECK(affinityReplica(From, All, Request, Options) != Home);
}

TEST_CASE(
    "a server is full by its load report or the entry's part of the limit") {
  struct Row {
    const char *m_Case;
    std::uint32_t m_Own;
    double m_Reported;
    Duration m_Age;
    bool m_Full;
  };
  const Row Rows[] = {
      {"within the part of the entry", 1, 99.0, 0s, false},
      {"beyond the part, others may have filled it", 2, 6.0, 0s, true},
      {"beyond the part, with free slots", 2, 5.0, 0s, false},
      {"at most twice the part", 4, 0.0, 0s, true},
      {"no recent report", 2, 0.0, 1h, true}};
  for (const Row &Each : Rows) {
    ReplicaCandidate Candidate;
    Candidate.m_OutstandingRequests = Each.m_Own;
    Candidate.m_ReportedRequests = Each.m_Reported;
    Candidate.m_ReportAge = Each.m_Age;
    CAPTURE(Each.m_Case);
    CHECK(isFull(Candidate, 8, 4) == Each.m_Full);
  }
  Candidates From = servers(2);
  From[0].m_Full = true;
  CHECK(chosen(From, {}, {}) == std::set<std::size_t>{1});
  From[1].m_Full = true;
  Random Generator(1);
  ReplicaChoiceState State;
  CHECK_FALSE(chooseReplica(From, {}, {}, State, Generator).has_value());
}

TEST_CASE("cache hints decay, and late events and gaps are tolerated") {
  struct Row {
    const char *m_Case;
    std::vector<CacheEvent> m_Events;
    Duration m_Age;
    std::uint64_t m_Expected;
  };
  const Row Rows[] = {
      {"fresh", {{1, 1, 7, 800}}, 0s, 800},
      {"half-life", {{1, 1, 7, 800}}, 60s, 400},
      {"dropped", {{1, 1, 7, 800}, {1, 2, 7, 0}}, 0s, 0},
      {"duplicate", {{1, 1, 7, 800}, {1, 1, 7, 800}}, 0s, 800},
      {"late", {{1, 5, 7, 800}, {1, 4, 7, 0}}, 0s, 800},
      {"gap", {{1, 1, 7, 800}, {1, 9, 8, 100}}, 0s, 400},
      {"after the gap", {{1, 1, 8, 1}, {1, 9, 7, 800}}, 0s, 800},
      {"own traffic", {{1, 0, 7, 800}}, 0s, 800},
      {"another server", {{2, 1, 7, 800}}, 0s, 0},
      {"over capacity", {{1, 1, 7, 800}, {1, 2, 8, 1}, {1, 3, 9, 1}}, 0s, 0}};
  CacheHintOptions Options;
  Options.m_Capacity = 2;
  for (const Row &Each : Rows) {
    CacheHints Hints;
    for (const CacheEvent &Event : Each.m_Events)
      applyCacheEvent(Hints, Event, TimePoint(), Options);
    CAPTURE(Each.m_Case);
    CHECK(expectedCachedTokens(Hints, {1, 7}, TimePoint(Each.m_Age), Options) ==
          Each.m_Expected);
    CHECK(Hints.m_ByAge.size() == Hints.m_Hints.size());
    removeServer(Hints, 1);
    CHECK(expectedCachedTokens(Hints, {1, 7}, TimePoint(), Options) == 0);
  }
}

TEST_CASE("counts announced by other entries override load reports") {
  ReplicaCandidate Candidate;
  Candidate.m_OutstandingRequests = 2;
  // The report is empty; the other entries announced 9 requests.
  Candidate.m_ReportedRequests = 0;
  Candidate.m_OtherEntriesRequests = 9;
  CHECK_FALSE(isFull(Candidate, 12, 4));
  Candidate.m_OtherEntriesRequests = 10;
  CHECK(isFull(Candidate, 12, 4));
  ReplicaCandidate Idle = Candidate;
  Idle.m_OtherEntriesRequests = 0;
  CHECK(expectedLoad(Idle, {}) < expectedLoad(Candidate, {}));
}
