// Evidence about crashes, limits and counts in load reports: what is sent
// arrives, and values out of range do no harm.
#include "Gateway.pb.h"
#include "Gateway/CrashMessages.h"
#include "Gateway/LimitMessages.h"
#include "Gateway/LoadMessages.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <limits>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

const TimePoint Now{1000s};

SuspectId part(const std::string &Id) { return {SuspectKind::PromptPart, Id}; }

} // namespace

TEST_CASE("a crash arrives as the reporter saw it, others' reports don't") {
  const ServerRun Run{"e1", 7};
  const ServerCrash Crash{
      "drafts",
      Now - 250ms,
      {{"g1", {3, {{part("bad"), {0.25, 2.0}}, {part("all"), {1.0, 90.0}}}}},
       {"g2", {1, {{part("x"), {0.5, 0.0}}}}}}};
  schema::LoadReport Report;
  addCrash(Report, Run, Crash, "g1", Now);
  addCrash(Report, Run, Crash, "g3", Now);
  REQUIRE(Report.crashes_size() == 1);
  CHECK(Report.crashes(0).backend_server() == "e1");
  CHECK(Report.crashes(0).incarnation() == 7);
  const ServerCrash Read = crashFromSchema(Report.crashes(0), Now + 10ms);
  CHECK(Read.m_Service == "drafts");
  CHECK(Read.m_At == Now - 240ms);
  CHECK(Read.m_Reports ==
        std::map<std::string, CrashReport>{{"g1", Crash.m_Reports.at("g1")}});
}

TEST_CASE("fractions and counts out of range are brought into it") {
  const double Bad[] = {-1.0, std::numeric_limits<double>::quiet_NaN(),
                        std::numeric_limits<double>::infinity()};
  for (const double Value : Bad) {
    schema::ServerCrash Message;
    schema::ImplicatedSuspect &Each = *Message.add_suspects();
    Each.set_id("p");
    Each.set_sound_fraction(Value);
    Each.set_sound_answers(Value);
    const auto Read = crashFromSchema(Message, Now);
    const ImplicatedSuspect &Known =
        Read.m_Reports.at("").m_Suspects.at(part("p"));
    CHECK(Known.m_SoundFraction >= 0.0);
    CHECK(Known.m_SoundFraction <= 1.0);
    CHECK(Known.m_SoundAnswers >= 0.0);
  }
}

TEST_CASE(
    "suspects of both kinds arrive, those of unknown kinds are left out") {
  const SuspectId Request{SuspectKind::Request, "d1"};
  const ServerCrash Crash{
      "drafts", Now, {{"g1", {2, {{part("d1"), {}}, {Request, {}}}}}}};
  schema::LoadReport Report;
  addCrash(Report, {"e1", 7}, Crash, "g1", Now);
  addAcquittal(Report, {"drafts", Request}, Now - 100ms, Now);
  // As a gateway of a later version might send it.
  constexpr auto Unknown = static_cast<schema::SuspectKind>(7);
  schema::ImplicatedSuspect &Later = *Report.mutable_crashes(0)->add_suspects();
  Later.set_kind(Unknown);
  Later.set_id("d1");
  const ServerCrash Read = crashFromSchema(Report.crashes(0), Now);
  CHECK(Read.m_Reports == Crash.m_Reports);
  CHECK(suspectFromSchema(Report.acquittals(0)) == Suspect{"drafts", Request});
  schema::Acquittal Acquittal;
  Acquittal.set_kind(Unknown);
  CHECK_FALSE(suspectFromSchema(Acquittal));
}

TEST_CASE("limits arrive with their age, and as none after they were lifted") {
  schema::LoadReport Report;
  addLimits(Report,
            {{"e1", {2.5, Now - 100ms}}, {"e2", {std::nullopt, Now - 1s}}},
            Now);
  REQUIRE(Report.limits_size() == 2);
  CHECK(limitFromSchema(Report.limits(0), Now) ==
        LimitSighting{2.5, Now - 100ms});
  CHECK(limitFromSchema(Report.limits(1), Now) ==
        LimitSighting{std::nullopt, Now - 1s});
}

TEST_CASE("a limit that is no number or negative counts as none") {
  for (const double Value : {-1.0, std::numeric_limits<double>::quiet_NaN()}) {
    schema::ServerLimit Message;
    Message.set_requests_per_second(Value);
    CHECK_FALSE(limitFromSchema(Message, Now).m_RequestsPerSecond);
  }
}

TEST_CASE("a report of an earlier version has no pending prompt tokens") {
  schema::LoadReport Report;
  Report.add_servers(1);
  Report.add_requests(2);
  // What its sender reported before it was replaced by the earlier version.
  GatewayLoad Known{{{7, 1}}, {{7, 500}}};
  REQUIRE(applyLoad(Known, Report));
  CHECK(Known == GatewayLoad{{{1, 2}}, {}});
}

TEST_CASE("a report whose lists don't match changes nothing") {
  const GatewayLoad Before{{{7, 1}}, {{7, 500}}};
  for (const auto &[Requests, Tokens] :
       {std::pair(1, 0), std::pair(2, 1), std::pair(2, 3), std::pair(0, 0)}) {
    schema::LoadReport Report;
    Report.add_servers(1);
    Report.add_servers(2);
    for (int I = 0; I < Requests; ++I)
      Report.add_requests(1);
    for (int I = 0; I < Tokens; ++I)
      Report.add_pending_prompt_tokens(1);
    GatewayLoad Known = Before;
    CHECK_FALSE(applyLoad(Known, Report));
    CHECK(Known == Before);
  }
}
