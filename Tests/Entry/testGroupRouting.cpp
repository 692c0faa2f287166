// The limit of rank groups at a gateway's directory. Guards against requests to
// a group whose passes are at the gap target, and against changes for services
// without an engine.
#include "Entry/MembershipDirectory.h"

#include "Core/Hash.h"
#include "Events/EventLog.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Ranks = 4;
constexpr std::uint32_t Slots = 10;

struct Fixture {
  Fixture()
      : m_Events({"gateway", "g", "a"}, "/dev/null"),
        m_Directory(m_Events, "a", 2, 1) {
    RuntimeClock::pause();
    for (const std::string Group : {"near", "far"})
      for (std::uint32_t I = 0; I < Ranks; ++I) {
        Member Server;
        Server.m_BackendServer = fmt::format("{}-{}", Group, I);
        Server.m_Service = "llm";
        Server.m_AvailabilityZone = Group == "near" ? "a" : "b";
        Server.m_Address = "127.90.8.2";
        Server.m_PeerPort = static_cast<std::uint16_t>(++m_LastPort);
        Server.m_Group = Group;
        Server.m_GroupEpoch = 1;
        m_Directory.announced(Server);
      }
    // 40 ms for a pass, and 2 ms for each request of a group.
    m_Rules.m_Figures.m_StepMs = 10.0;
    m_Rules.m_Figures.m_StepsPerPass = 4;
    m_Rules.m_Figures.m_StepMsPerRequest = 2.0;
    m_Rules.m_GapTargetMs = 100.0;
  }
  ~Fixture() { RuntimeClock::resume(); }

  // Another gateway has as many requests at each rank of the group.
  void report(const std::string &Group, std::uint32_t RequestsPerRank) {
    for (std::uint32_t I = 0; I < Ranks; ++I)
      m_Other.m_Requests[hash64(fmt::format("{}-{}", Group, I))] =
          RequestsPerRank;
    m_Other.m_Heard = RuntimeClock::now();
    m_Directory.setOtherEntryCalls("other", m_Other);
  }

  // Names of the groups that get the next requests, which this gateway keeps.
  std::map<std::string, int> send(int Count, const PassRules *Rules) {
    std::map<std::string, int> Sent;
    ChoiceRequest Request;
    Request.m_Service = "llm";
    Request.m_Policy = "score";
    Request.m_MaxOutstanding = Slots;
    Request.m_PassRules = Rules;
    for (int I = 0; I < Count; ++I)
      if (const auto To = m_Directory.choose(Request)) {
        m_Directory.callStarted(*To, {});
        ++Sent[m_Directory.groupName(To->m_Name)];
        // The gateway's allowance of the next pass.
        RuntimeClock::advance(200ms);
        report("near", 0);
      }
    return Sent;
  }

  EventLog m_Events;
  MembershipDirectory m_Directory;
  PassRules m_Rules;
  OutstandingCalls m_Other;
  int m_LastPort = 9100;
};

} // namespace

TEST_CASE("a group at its limit is left out") {
  Fixture F;
  // 30 requests take 100 ms; this gateway's own share is 15.
  F.report("far", 5);
  const auto Sent = F.send(60, &F.m_Rules);
  CHECK(Sent.at("near") == 30);
  CHECK(Sent.at("far") == 15);
  CHECK(F.m_Directory.groupPasses().at("near").m_Limit == 30);
}

TEST_CASE("without pass rules only slots limit the requests, as before") {
  Fixture F;
  F.report("far", 9);
  const auto Sent = F.send(60, nullptr);
  CHECK(Sent.at("near") == 40);
  CHECK(Sent.at("far") == 4);
  CHECK(F.m_Directory.groupPasses().empty());
}

TEST_CASE("a group of another zone is used when its passes are shorter",
          "[own-zone-preference]") {
  Fixture F;
  F.report("far", 0);
  const auto Equal = F.send(2, &F.m_Rules);
  CHECK(Equal.at("near") == 2);
  // Passes of 44 ms and 62 ms are expected.
  const auto Target = F.m_Directory.locate("near-0");
  for (int I = 0; I < 40; ++I) {
    RuntimeClock::advance(62ms);
    F.m_Directory.gapObserved(*Target, 62ms);
  }
  CHECK(F.send(2, &F.m_Rules).at("far") == 2);
}

TEST_CASE("the requests of a silent gateway count for 2 s") {
  Fixture F;
  F.report("near", Slots);
  F.report("far", Slots);
  CHECK(F.send(1, nullptr).empty());
  RuntimeClock::advance(2001ms);
  CHECK(F.send(1, nullptr).size() == 1);
}
