// Three members and a process without a data folder, over sockets and real
// folders.
#include "Raft/RunnerCluster.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

bool sameState(RunnerCluster &C, const std::string &Expected) {
  return RunnerCluster::eventually([&] {
    for (std::size_t I = 0; I < RunnerCluster::VoterCount; ++I)
      if (C.isRunning(I) && C.at(I).m_Machine.state() != Expected)
        return false;
    return true;
  });
}

// All members come to have the same state, with so many commands of the name.
bool agreeWithCommands(RunnerCluster &C, char Name, std::size_t Count) {
  return RunnerCluster::eventually([&] {
    const std::string First = C.at(0).m_Machine.state();
    if (std::count(First.begin(), First.end(), Name) !=
        static_cast<std::ptrdiff_t>(Count))
      return false;
    for (std::size_t I = 1; I < RunnerCluster::VoterCount; ++I)
      if (C.at(I).m_Machine.state() != First)
        return false;
    return true;
  });
}

std::size_t otherThan(std::size_t Machine) {
  return (Machine + 1) % RunnerCluster::VoterCount;
}

} // namespace

TEST_CASE("commands from every process are committed once and in one order") {
  RunnerCluster C(7321);
  REQUIRE(C.allVote());
  std::string Expected;
  std::uint64_t Last = 0;
  for (std::size_t I = 0; I < 40; ++I) {
    const std::string Name = "c" + std::to_string(I);
    const auto Reply = C.propose(I % RunnerCluster::ProcessCount, Name);
    REQUIRE(Reply.has_value());
    CHECK(Reply.value().fencing_number() > Last);
    Last = Reply.value().fencing_number();
    Expected += Name + ";";
  }
  CHECK(sameState(C, Expected));
}

TEST_CASE("another member becomes leader after the leader stops, and a member "
          "that missed 500 commands catches up by snapshot") {
  RunnerCluster C(7322, 100);
  REQUIRE(C.allVote());
  const std::size_t First = C.leader();
  REQUIRE(C.propose(First, "before").has_value());
  std::string Expected = "before;";
  C.stop(First);
  CHECK(C.agreedLeader() != First);
  for (int I = 0; I < 500; ++I) {
    const std::string Name = "c" + std::to_string(I);
    REQUIRE(C.propose(otherThan(First), Name).has_value());
    Expected += Name + ";";
  }
  C.start(First);
  CHECK(sameState(C, Expected));
  CHECK(C.at(First).m_Machine.restored() >= 1);
}

TEST_CASE("a member that lost its disk becomes a voter with a new storage id") {
  RunnerCluster C(7323);
  REQUIRE(C.allVote());
  REQUIRE(C.propose(0, "kept").has_value());
  const std::size_t Lost = C.leader();
  const MemberId Old = C.at(Lost).m_Runner->status().m_Self;
  C.stop(Lost);
  std::filesystem::remove_all(C.folder(Lost));
  C.start(Lost);
  const MemberId New = C.at(Lost).m_Runner->status().m_Self;
  CHECK(New.m_StorageId != Old.m_StorageId);
  REQUIRE(RunnerCluster::eventually([&] {
    const RaftMembers Members = C.at(Lost).m_Runner->status().m_Members;
    return std::find(Members.begin(), Members.end(), RaftMember{New, true}) !=
           Members.end();
  }));
  // A second failure immediately afterwards.
  const std::size_t Second = C.leader();
  C.stop(Second);
  REQUIRE(C.agreedLeader() != Second);
  const auto Reply = C.propose(Lost, "after");
  CHECK(Reply.has_value());
  CHECK(sameState(C, "kept;after;"));
}

TEST_CASE("without a majority a command is refused and never applied") {
  RunnerCluster C(7324);
  REQUIRE(C.allVote());
  const std::size_t Left = otherThan(C.leader());
  for (std::size_t I = 0; I < RunnerCluster::VoterCount; ++I)
    if (I != Left)
      C.stop(I);
  REQUIRE(RunnerCluster::eventually(
      [&] { return C.at(Left).m_Runner->leader().empty(); }));
  const auto Refused = C.propose(Left, "refused");
  REQUIRE(Refused.has_error());
  CHECK(Refused.error().m_Code == ProposeErrorCode::NoQuorum);
  CHECK_FALSE(C.at(Left).m_Runner->leaseHeld());
  for (std::size_t I = 0; I < RunnerCluster::VoterCount; ++I)
    if (I != Left)
      C.start(I);
  REQUIRE(C.agreedLeader() < RunnerCluster::VoterCount);
  const auto Taken = C.propose(Left, "accepted");
  INFO((Taken ? std::string() : Taken.error().m_Detail));
  REQUIRE(Taken.has_value());
  CHECK(sameState(C, "accepted;"));
}

namespace {

// Fills the disk of each member in turn while commands are proposed, enough of
// them for several snapshots.
void fillDisksInTurn(RunnerCluster &C) {
  constexpr int Rounds = 2;
  for (int Round = 0; Round < Rounds; ++Round)
    for (std::size_t Full = 0; Full < RunnerCluster::VoterCount; ++Full) {
      INFO("round " << Round << ", disk " << Full);
      C.disk(Full).m_Full = true;
      // With the leader's disk full another member has to be elected.
      std::size_t Committed = 0;
      const TimePoint End = RuntimeClock::now() + 3s;
      for (std::size_t I = 0; RuntimeClock::now() < End; ++I)
        Committed += C.propose(otherThan(Full + I % 2), "c", 900ms) ? 1 : 0;
      CHECK(Committed > 0);
      C.disk(Full).m_Full = false;
      CHECK(C.propose(Full, "d", 4s).has_value());
    }
}

// Proposes commands until the member's disk is full because of a snapshot.
void fillDiskBySnapshot(RunnerCluster &C, std::size_t Member) {
  C.disk(Member).m_IsFilledBySnapshot = true;
  for (int I = 0; I < 200 && !C.disk(Member).m_Full; ++I)
    (void)C.propose(otherThan(Member), "c", 900ms);
  REQUIRE(C.disk(Member).m_Full);
}

} // namespace

// Guards against commands that are refused, or left without an answer, after
// the disks of the members were full for some time each, never two at once.
TEST_CASE("disks that were full one after another stop no command") {
  RunnerCluster C(7326, 20);
  REQUIRE(C.allVote());
  fillDisksInTurn(C);
  for (std::size_t I = 0; I < RunnerCluster::ProcessCount; ++I) {
    CHECK_FALSE(C.at(I).m_HasFailed);
    CHECK(C.propose(I, "e", 4s).has_value());
  }
  CHECK(agreeWithCommands(C, 'e', RunnerCluster::ProcessCount));
}

// Guards against a member that ends because its disk is full as a snapshot is
// written beside the control thread.
TEST_CASE("a disk that is full during a snapshot ends no member") {
  const bool IsLeader = GENERATE(false, true);
  CAPTURE(IsLeader);
  RunnerCluster C(7327, 20, true);
  REQUIRE(C.allVote());
  const std::size_t Leader = C.agreedLeader();
  const std::size_t Full = IsLeader ? Leader : otherThan(Leader);
  fillDiskBySnapshot(C, Full);
  const LogIndex Before = C.at(Full).m_Runner->status().m_SnapshotIndex;
  // A command that was sent to the leader as its disk filled may be appended.
  const auto First = C.propose(otherThan(Full), "d", 4s);
  CHECK((First.has_value() ||
         (IsLeader && First.error().m_Code == ProposeErrorCode::InDoubt)));
  for (int I = 0; I < 20; ++I)
    CHECK(C.propose(otherThan(Full), "d", 4s).has_value());
  // A member that has failed answers nothing.
  REQUIRE_FALSE(C.at(Full).m_HasFailed);
  C.disk(Full).m_Full = false;
  REQUIRE(RunnerCluster::eventually(
      [&] { return C.at(Full).m_Runner->status().m_SnapshotIndex > Before; }));
  CHECK(C.propose(Full, "e", 4s).has_value());
}

TEST_CASE("a member stops while its snapshot waits for disk space") {
  RunnerCluster C(7328, 20, true);
  REQUIRE(C.allVote());
  const std::size_t Full = otherThan(C.agreedLeader());
  fillDiskBySnapshot(C, Full);
  C.stop(Full);
  CHECK(C.propose(otherThan(Full), "d", 4s).has_value());
}
