// Tests that the shares of a limit never add up to more than the limit whatever
// the network does, that they follow the demand, and the effect of the planning
// interval and the change threshold.
#include "Routing/LimitShares.h"

#include "Core/Random.h"
#include "Routing/TokenBucket.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <array>
#include <cmath>
#include <iostream>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t EntryCount = 4;
constexpr std::uint64_t Customer = 9;
constexpr double Limit = 1000.0;
constexpr Duration Step = 100ms;
constexpr int StepsPerReport = 5;
const std::map<std::uint64_t, double> Limits{{Customer, Limit}};

// Four entries and a planner connected by a network that delays, loses and
// duplicates messages.
struct Deployment {
  struct Network {
    double m_LossRate = 0.0;
    double m_DuplicationRate = 0.0;
    Duration m_MaxDelay = 20ms;
  };

  LimitShareOptions m_Options;
  Network m_Network;
  Random m_Generator{1};
  TimePoint m_Now{1h};
  std::uint64_t m_Generations = 1;
  int m_Steps = 0;
  std::vector<EntryShares> m_Entries;
  SharePlanner m_Planner;
  std::array<bool, EntryCount> m_Disconnected{};
  std::multimap<TimePoint, ShareReport> m_Reports;
  std::multimap<TimePoint, std::pair<std::uint32_t, ShareReply>> m_Replies;
  std::array<double, EntryCount> m_Demand{};
  // Rate limiters that enforce the shares, with a burst of one second.
  std::array<TokenBucket, EntryCount> m_Buckets{};

  explicit Deployment(const LimitShareOptions &Options) : m_Options(Options) {
    for (std::uint32_t Index = 0; Index < EntryCount; ++Index)
      m_Entries.push_back({Index, EntryCount, m_Generations++, 0, 0, {}, {}});
    m_Planner = startPlanner(1, EntryCount, Options, m_Now);
  }

  double share(std::uint32_t Entry) const {
    return currentShare(m_Entries[Entry], Customer, Limit, m_Options, m_Now);
  }
  double sum() const {
    double Sum = 0.0;
    for (std::uint32_t Entry = 0; Entry < EntryCount; ++Entry)
      Sum += share(Entry);
    return Sum;
  }

  template <class Message>
  void send(std::multimap<TimePoint, Message> &To, const Message &Sent) {
    const int Copies =
        uniformReal(m_Generator) < m_Network.m_DuplicationRate ? 2 : 1;
    for (int Copy = 0; Copy < Copies; ++Copy)
      if (uniformReal(m_Generator) >= m_Network.m_LossRate)
        To.emplace(m_Now + Duration(uniform(m_Generator, 0,
                                            m_Network.m_MaxDelay.count())),
                   Sent);
  }

  void deliver() {
    while (!m_Reports.empty() && m_Reports.begin()->first <= m_Now) {
      const ShareReport Report = m_Reports.begin()->second;
      m_Reports.erase(m_Reports.begin());
      if (m_Disconnected[Report.m_Entry])
        continue;
      const auto Reply =
          handleReport(m_Planner, Report, Limits, m_Options, m_Now);
      if (Reply)
        send(m_Replies, std::pair{Report.m_Entry, *Reply});
    }
    while (!m_Replies.empty() && m_Replies.begin()->first <= m_Now) {
      const auto [Entry, Reply] = m_Replies.begin()->second;
      m_Replies.erase(m_Replies.begin());
      if (!m_Disconnected[Entry])
        applyReply(m_Entries[Entry], Reply, m_Options, m_Now);
    }
  }

  // Advances by one step; returns the tokens served in it.
  double step() {
    m_Now += Step;
    ++m_Steps;
    const double Seconds = std::chrono::duration<double>(Step).count();
    double Served = 0.0;
    for (EntryShares &Entry : m_Entries) {
      const double Wanted = m_Demand[Entry.m_Entry];
      if (Wanted > 0.0)
        recordDemand(Entry, Customer, Wanted * Seconds, m_Options, m_Now);
      TokenBucket &Bucket = m_Buckets[Entry.m_Entry];
      const double Rate = share(Entry.m_Entry);
      refill(Bucket, Rate, Rate, m_Now);
      const double Taken = std::min(Wanted * Seconds, Bucket.m_Level);
      Bucket.m_Level -= Taken;
      Served += Taken;
      if (m_Steps % StepsPerReport == 0)
        send(m_Reports, makeReport(Entry, Limits, m_Options, m_Now));
    }
    deliver();
    return Served;
  }
  void run(Duration Time) {
    for (Duration Done{0}; Done < Time; Done += Step)
      step();
  }
};

struct DemandResult {
  // Fraction of the tokens that the limit and the demand would have allowed.
  double m_Served = 0.0;
  std::uint64_t m_Changes = 0;
};

// A customer at its limit whose demand moves between the entries every 20 s
// with some noise, for 10 minutes.
DemandResult driftingDemand(const LimitShareOptions &Options) {
  Deployment System(Options);
  Random Drift(3);
  double Served = 0.0;
  double Allowed = 0.0;
  std::array<double, EntryCount> Weights{1.0, 1.0, 1.0, 1.0};
  for (int Index = 0; Index < 6000; ++Index) {
    if (Index % 200 == 0)
      for (double &Weight : Weights)
        Weight = 0.1 + uniformReal(Drift);
    double Sum = 0.0;
    for (const double Weight : Weights)
      Sum += Weight;
    for (std::size_t Entry = 0; Entry < EntryCount; ++Entry)
      System.m_Demand[Entry] =
          Limit * Weights[Entry] / Sum * (0.8 + 0.4 * uniformReal(Drift));
    Served += System.step();
    Allowed += Limit * std::chrono::duration<double>(Step).count();
  }
  return {Served / Allowed, System.m_Planner.m_Changes};
}

LimitShareOptions withoutThreshold() {
  LimitShareOptions Options;
  Options.m_ChangeThreshold = 0.0;
  return Options;
}

} // namespace

TEST_CASE("shares follow the demand and add up to at most the limit") {
  Deployment System({});
  CHECK(System.sum() == Approx(Limit / 2));
  System.m_Demand = {1000.0, 0.0, 0.0, 0.0};
  System.run(20s);
  CHECK(System.share(0) == Approx(625.0).epsilon(0.01));
  CHECK(System.share(1) == Approx(125.0));
  System.m_Demand = {0.0, 0.0, 800.0, 0.0};
  System.run(30s);
  // The threshold permits a difference of up to its fraction of the limit.
  CHECK(std::abs(System.share(2) - 625.0) <=
        System.m_Options.m_ChangeThreshold * Limit + 1e-6);
  CHECK(System.sum() <= Limit + 1e-6);
}

TEST_CASE("a disconnected entry falls back to its base share") {
  Deployment System({});
  System.m_Demand = {1000.0, 900.0, 0.0, 0.0};
  System.run(20s);
  CHECK(System.share(0) > 300.0);
  System.m_Disconnected[0] = true;
  System.run(20s);
  CHECK(System.share(0) == Approx(125.0));
  CHECK(System.share(1) == Approx(625.0).epsilon(0.01));
  System.m_Disconnected[0] = false;
  System.run(20s);
  CHECK(System.share(0) > 300.0);
}

TEST_CASE(
    "a floating share ends with its lease, and later replies are ignored") {
  const LimitShareOptions Options;
  EntryShares Entry{0, EntryCount, 5, 0, 0, {}, {}};
  const ShareReply Reply{1, 1, 5, TimePoint(0s), {{Customer, 300.0}}};
  const TimePoint End = TimePoint(Options.m_Lease);
  EntryShares Late = Entry;
  applyReply(Late, Reply, Options, End);
  CHECK(Late.m_Term == 0);
  applyReply(Entry, Reply, Options, TimePoint(1s));
  CHECK(currentShare(Entry, Customer, Limit, Options, End - 1us) == 425.0);
  CHECK(currentShare(Entry, Customer, Limit, Options, End) == 125.0);
}

TEST_CASE("unused floating shares are revoked and removed") {
  Deployment System({});
  System.m_Demand = {600.0, 0.0, 0.0, 0.0};
  System.run(20s);
  System.m_Demand = {};
  System.run(200s);
  CHECK(System.sum() == Approx(Limit / 2));
  CHECK(System.m_Planner.m_Entries[0].m_Shares.empty());
  CHECK(System.m_Entries[0].m_Customers.empty());
}

TEST_CASE("the shares never add up to more than the limit") {
  Deployment System({});
  System.m_Generator.seed(GENERATE(range(1, 9)));
  System.m_Options.m_ChangeThreshold = GENERATE(0.0, 0.02);
  System.m_Network = {0.2, 0.2, 4s};
  Random &Faults = System.m_Generator;
  double Highest = 0.0;
  for (int Round = 0; Round < 6000; ++Round) {
    const std::size_t Entry = uniform(Faults, 0, EntryCount - 1);
    switch (uniform(Faults, 0, 300)) {
    case 0:
      System.m_Disconnected[Entry] = !System.m_Disconnected[Entry];
      break;
    case 1:
      System.m_Entries[Entry] = {static_cast<std::uint32_t>(Entry),
                                 EntryCount,
                                 System.m_Generations += 1000,
                                 0,
                                 0,
                                 {},
                                 {}};
      break;
    case 2:
      System.m_Planner = startPlanner(System.m_Planner.m_Term + 1, EntryCount,
                                      System.m_Options, System.m_Now);
      break;
    case 3:
      System.m_Network.m_MaxDelay = Duration(uniform(Faults, 0, 6000000));
      break;
    default:
      break;
    }
    if (Round % 50 == 0)
      for (double &Demand : System.m_Demand)
        Demand = static_cast<double>(uniform(Faults, 0, 1500));
    System.step();
    REQUIRE(System.sum() <= Limit + 1e-6);
    Highest = std::max(Highest, System.sum());
  }
  // Floating shares were granted at all.
  CHECK(Highest > 0.9 * Limit);
}

TEST_CASE("the change threshold saves changes at little cost") {
  const DemandResult With = driftingDemand({});
  const DemandResult Without = driftingDemand(withoutThreshold());
  CHECK(With.m_Changes * 2 < Without.m_Changes);
  CHECK(With.m_Served > Without.m_Served - 0.02);
  CHECK(With.m_Served > 0.9);
}

TEST_CASE("interval, change threshold and base fraction of limit shares",
          "[.][figures]") {
  struct Row {
    const char *m_Name;
    void (*m_Change)(LimitShareOptions &);
  };
  const Row Rows[] = {
      {"defaults", [](auto &) {}},
      {"no threshold", [](auto &O) { O.m_ChangeThreshold = 0.0; }},
      {"threshold 0.05", [](auto &O) { O.m_ChangeThreshold = 0.05; }},
      {"threshold 0.15", [](auto &O) { O.m_ChangeThreshold = 0.15; }},
      {"fixed interval", [](auto &O) { O.m_MinInterval = O.m_MaxInterval; }},
      {"plan at every report",
       [](auto &O) { O.m_MinInterval = O.m_MaxInterval = 0s; }},
      {"plan at every report, no threshold",
       [](auto &O) {
         O.m_MinInterval = O.m_MaxInterval = 0s;
         O.m_ChangeThreshold = 0.0;
       }},
      {"base fraction 0.25", [](auto &O) { O.m_BaseFraction = 0.25; }},
      {"base fraction 0.75", [](auto &O) { O.m_BaseFraction = 0.75; }},
      {"fixed shares", [](auto &O) { O.m_BaseFraction = 1.0; }}};
  for (const Row &Each : Rows) {
    LimitShareOptions Options;
    Each.m_Change(Options);
    const DemandResult Result = driftingDemand(Options);
    std::cout << fmt::format("{:30} served {:.4f} of the limit, {} changes\n",
                             Each.m_Name, Result.m_Served, Result.m_Changes);
  }
}
