// Faults of real processes under load. The load program checks that each caller
// receives its own complete response. The run logs of the booking desks show
// that no key was executed twice, and that they contain every request reported
// as `ran` and none reported as `not-run`.
#include "Processes/Deployment.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

using namespace mangocart::test;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> MixedLoad = {
    "--rate",       "60", "--requests",           "600", "--mix",  "1:2",
    "--max-tokens", "20", "--resend-probability", "0.3", "--seed", "7"};

struct FaultCase {
  const char *m_Name;
  // Entries that the load program sends requests to. Callers of a killed entry
  // lose their connections.
  std::vector<std::string> m_Entries;
  void (*m_Fault)(Deployment &);
};

std::string otherEntry(const std::string &Name) {
  return Name == "entry-a" ? "entry-b" : "entry-a";
}

void killAgent(Deployment &D) {
  D.kill("desk-1");
  std::this_thread::sleep_for(1s);
  D.startAgent("desk-1");
}

void killBookingDesk(Deployment &D) {
  D.kill("standin-desk-1");
  std::this_thread::sleep_for(1s);
  D.startStandin("desk-1");
}

void killEngine(Deployment &D) {
  D.kill("standin-engine-1");
  D.kill("engine-2");
  std::this_thread::sleep_for(1s);
  D.startStandin("engine-1");
  D.startAgent("engine-2");
}

void killEntryWithoutDisk(Deployment &D) {
  D.kill("entry-c2");
  std::this_thread::sleep_for(1s);
  D.startEntry("entry-c2");
}

void killLeader(Deployment &D) {
  const std::string Leader = D.leader("entry-c2");
  REQUIRE_FALSE(Leader.empty());
  D.kill(Leader);
  std::this_thread::sleep_for(3s);
  D.startEntry(Leader);
}

void pauseLeader(Deployment &D) {
  const std::string Leader = D.leader("entry-c2");
  REQUIRE_FALSE(Leader.empty());
  D.process(Leader).signal(SIGSTOP);
  std::this_thread::sleep_for(4s);
  D.process(Leader).signal(SIGCONT);
}

void eraseFollowerData(Deployment &D) {
  const std::string Follower = otherEntry(D.leader("entry-c2"));
  D.kill(Follower);
  D.eraseData(Follower);
  D.startEntry(Follower);
}

void killLeaderAndAgent(Deployment &D) {
  const std::string Leader = D.leader("entry-c2");
  D.kill(Leader);
  D.kill("desk-2");
  std::this_thread::sleep_for(2s);
  D.startEntry(Leader);
  D.startAgent("desk-2");
}

void killSecondVoterAfterFirstRestart(Deployment &D) {
  const std::string First = D.leader("entry-c2");
  D.kill(First);
  std::this_thread::sleep_for(2s);
  D.startEntry(First);
  REQUIRE(eventually([&] { return !D.leader(First).empty(); }));
  const std::string Second = D.leader(First);
  D.kill(Second);
  std::this_thread::sleep_for(1s);
  D.startEntry(Second);
}

void runUnderLoad(const FaultCase &Case, int Octet) {
  INFO(Case.m_Name);
  Deployment D(Octet);
  D.start();
  const auto Load = D.startLoad(Case.m_Entries, MixedLoad);
  std::this_thread::sleep_for(2s);
  Case.m_Fault(D);
  const LoadResult Result = D.finishLoad(*Load);
  INFO(Result.m_Output);
  CHECK(Result.m_ExitCode == 0);
  // A fault may fail some requests; afterwards the deployment serves all of
  // them.
  REQUIRE(eventually([&] {
    const auto After =
        D.startLoad({"entry-c2"}, {"--callers", "4", "--requests", "40",
                                   "--mix", "1:1", "--run-name", "after"});
    const LoadResult Checked = D.finishLoad(*After);
    return Checked.m_ExitCode == 0 &&
           Checked.m_Report.at("outcomes").as_object().if_contains("ran") &&
           Checked.m_Report.at("outcomes").at("ran").to_number<int>() == 40;
  }));
}

const std::vector<std::string> AllEntries = Deployment::entries();

const FaultCase Cases[] = {
    {"agent killed and restarted", AllEntries, killAgent},
    {"booking desk killed and restarted", AllEntries, killBookingDesk},
    {"engine and another engine's agent killed", AllEntries, killEngine},
    {"entry without a disk killed", AllEntries, killEntryWithoutDisk},
    {"leader killed", AllEntries, killLeader},
    {"leader paused for longer than its lease", AllEntries, pauseLeader},
    {"follower restarts with an empty folder", AllEntries, eraseFollowerData},
    {"leader and an agent killed at once", AllEntries, killLeaderAndAgent},
    {"second voter killed right after the first restarted", AllEntries,
     killSecondVoterAfterFirstRestart}};

} // namespace

TEST_CASE("guarantees hold through process faults") {
  int Octet = 100;
  for (const FaultCase &Case : Cases) {
    ++Octet;
    DYNAMIC_SECTION(Case.m_Name) { runUnderLoad(Case, Octet); }
  }
}

TEST_CASE("a graceful shutdown interrupts no request") {
  Deployment D(120);
  D.start();
  // Callers use the entries that keep running; two agents and an entry are shut
  // down.
  const auto Load = D.startLoad({"entry-a", "entry-c2"},
                                {"--rate", "50", "--requests", "400", "--mix",
                                 "3:1", "--max-tokens", "100", "--seed", "3"});
  std::this_thread::sleep_for(2s);
  D.process("engine-1").signal(SIGTERM);
  D.process("desk-1").signal(SIGTERM);
  D.process("entry-b").signal(SIGTERM);
  CHECK(D.process("engine-1").wait(DefaultTimeout) == 0);
  CHECK(D.process("desk-1").wait(DefaultTimeout) == 0);
  CHECK(D.process("entry-b").wait(DefaultTimeout) == 0);
  const LoadResult Result = D.finishLoad(*Load);
  INFO(Result.m_Output);
  CHECK(Result.m_ExitCode == 0);
  // Every request was executed and its response was complete.
  const auto Ok = [&](const char *Kind) {
    return Result.m_Report.at(Kind).at("ok").to_number<int>();
  };
  CHECK(Ok("drafts") + Ok("bookings") == 400);
  CHECK(Result.m_Report.at("outcomes").at("ran").to_number<int>() == 400);
}

TEST_CASE("of two plans for the same version only one is accepted") {
  Deployment D(121);
  D.start();
  const std::string First = D.plan("entry-a", 5);
  const std::string Second = D.plan("entry-b", 6);
  std::string WinnerOutput;
  std::string LoserOutput;
  std::string RetryOutput;
  // Either command may need a retry if no leader responds in time.
  CHECK(eventually([&] {
    return D.acceptPlan("entry-a", First, "operation-1", &WinnerOutput) == 0;
  }));
  CHECK(eventually([&] {
    return D.acceptPlan("entry-b", Second, "operation-2", &LoserOutput) == 1 &&
           LoserOutput.find("operation-1") != std::string::npos;
  }));
  // A retry after a lost response receives the original response.
  CHECK(eventually([&] {
    return D.acceptPlan("entry-c2", First, "operation-1", &RetryOutput) == 0;
  }));
  CHECK(RetryOutput.find("version 2") != std::string::npos);
  // The rejected plan never became active.
  CHECK(D.versions("entry-a")["entry-a"] == 2);
}

TEST_CASE("an active configuration never reverts") {
  Deployment D(122);
  D.start();
  unsigned Share = 2;
  for (int I = 0; I < 5; ++I)
    REQUIRE(D.accept("entry-b", ++Share, "change-" + std::to_string(I)));
  // Every entry restarts, one after the other.
  for (const std::string &Entry : Deployment::entries()) {
    D.kill(Entry);
    D.startEntry(Entry);
    REQUIRE(eventually([&] { return D.versions(Entry)[Entry] >= 6; }));
  }
  REQUIRE(D.accept("entry-c2", ++Share, "last-change"));
  CHECK(eventually([&] {
    const auto Versions = D.versions("entry-c2");
    return std::all_of(Versions.begin(), Versions.end(),
                       [](const auto &Each) { return Each.second == 7; });
  }));
}

TEST_CASE("streams of killed replicas resume at the next token") {
  Deployment D(123);
  D.start();
  constexpr int Streams = 20;
  const auto Load = D.startLoad(Deployment::entries(),
                                {"--callers", "20", "--requests", "20",
                                 "--max-tokens", "800", "--seed", "5"});
  // The middle of 800 tokens at 5 ms intervals; some streams lose two servers.
  std::this_thread::sleep_for(1500ms);
  D.kill("standin-engine-1");
  std::this_thread::sleep_for(800ms);
  D.kill("engine-2");
  const LoadResult Result = D.finishLoad(*Load);
  INFO(Result.m_Output);
  // The load program checked each token and the end of each stream.
  CHECK(Result.m_ExitCode == 0);
  const auto &Drafts = Result.m_Report.at("drafts").as_object();
  const auto Count = [&](const char *Verdict) {
    const auto *Found = Drafts.if_contains(Verdict);
    return Found ? Found->to_number<int>() : 0;
  };
  CHECK(Count("ok") + Count("broken") == Streams);
  CHECK(Count("ok") == Streams);
  // At least one stream was interrupted and resumed; otherwise the test would
  // be vacuous.
  long Resumed = 0;
  for (const std::string &Entry : Deployment::entries())
    Resumed += D.metric(Entry, "mangocart_resumed_total");
  CHECK(Resumed > 0);
}

// The number of bookings makes the other voters take a snapshot in the
// meantime, so that the log entries missing from the old folder are in no log
// anymore.
TEST_CASE("an entry that missed 500 acceptances catches up by snapshot") {
  constexpr int Acceptances = 500;
  Deployment D(137);
  D.start();
  const std::string StoppedEntry = otherEntry(D.leader("entry-c2"));
  const std::string AcceptingEntry = otherEntry(StoppedEntry);
  const auto HasSnapshot = [&](const std::string &Entry) {
    return std::filesystem::exists(D.folder() / "data" / Entry / "snapshot");
  };
  D.kill(StoppedEntry);
  REQUIRE_FALSE(HasSnapshot(StoppedEntry));
  const auto Load = D.startLoad(
      {AcceptingEntry, "entry-c2"},
      {"--rate", "100", "--requests", "6000", "--mix", "0:1", "--seed", "5"});
  for (int I = 0; I < Acceptances; ++I)
    REQUIRE(D.accept(AcceptingEntry, 2 + static_cast<unsigned>(I) % 5,
                     "change-" + std::to_string(I)));
  const LoadResult Result = D.finishLoad(*Load);
  INFO(Result.m_Output);
  CHECK(Result.m_ExitCode == 0);
  REQUIRE(eventually([&] { return HasSnapshot(AcceptingEntry); }));
  D.startEntry(StoppedEntry);
  CHECK(eventually([&] {
    return D.versions(StoppedEntry)[StoppedEntry] == Acceptances + 1;
  }));
  // The configuration may arrive by gossip before the log does.
  CHECK(eventually([&] { return HasSnapshot(StoppedEntry); }));
}
