// Bounds on ratios that don't depend on the machine: syncs and messages for a
// command, traffic at rest. They follow from the size that is designed for: 6
// KB/s of control traffic for a node, and 1,100 requests/s each with a claim
// and an outcome.
#include "Raft/RaftHarness.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t MaxBytesPerSecondAtRest = std::uint64_t{6} * 1024;
// HTTP/2 frame, length prefix, TCP and IP headers of a message sent alone.
constexpr std::uint64_t HeadBytesPerMessage = 9 + 4 + 52;
constexpr std::uint64_t RestSeconds = 20;
constexpr int Outstanding = 64;
constexpr int Rounds = 20;

} // namespace

TEST_CASE("the leader's traffic at rest stays within a node's share") {
  for (const std::size_t Members : {3, 5}) {
    RaftHarness H(3, Members, RaftLimits());
    REQUIRE(H.recover());
    const HarnessCounts Before = H.counts();
    H.runQuietly(std::chrono::seconds(RestSeconds));
    const std::uint64_t Messages =
        (H.counts().m_Messages - Before.m_Messages) / RestSeconds;
    const std::uint64_t Bytes =
        (H.counts().m_Bytes - Before.m_Bytes) / RestSeconds +
        Messages * HeadBytesPerMessage;
    // Each message has the leader at one end.
    INFO(Members << " members: " << Messages << " messages/s, " << Bytes
                 << " bytes/s");
    CHECK(Bytes <= MaxBytesPerSecondAtRest);
    CHECK(H.counts().m_Syncs == Before.m_Syncs);
    CHECK(H.counts().m_Elections == Before.m_Elections);
  }
}

TEST_CASE("64 outstanding commands share a sync and a message") {
  RaftHarness H(3, 3, RaftLimits());
  REQUIRE(H.recover());
  const HarnessCounts Before = H.counts();
  for (int I = 0; I < Rounds; ++I) {
    REQUIRE(H.leader() != nullptr);
    H.propose(*H.leader(), Outstanding);
    H.runQuietly(20ms);
  }
  const double Commands = Outstanding * Rounds;
  const double Syncs =
      static_cast<double>(H.counts().m_Syncs - Before.m_Syncs) / Commands;
  const double Messages =
      static_cast<double>(H.counts().m_Messages - Before.m_Messages) / Commands;
  INFO(Syncs << " syncs and " << Messages << " messages per command");
  CHECK(H.counts().m_Committed - Before.m_Committed ==
        static_cast<std::uint64_t>(Commands));
  // One sync a member and batch.
  CHECK(Syncs <= 3.0 / Outstanding * 1.5);
  // A request, a reply, the commit and its reply for each follower, besides
  // heartbeats.
  CHECK(Messages <= 8.0 / Outstanding * 1.5);
}

TEST_CASE("one command costs three syncs and eight messages") {
  RaftHarness H(3, 3, RaftLimits());
  REQUIRE(H.recover());
  const HarnessCounts Before = H.counts();
  H.propose(*H.leader(), 1);
  H.runQuietly(20ms);
  CHECK(H.counts().m_Syncs - Before.m_Syncs == 3);
  CHECK(H.counts().m_Messages - Before.m_Messages <= 12);
}
