// Bounds on ratios that do not depend on the test machine: syncs and messages
// per command, and idle traffic. They follow from the design target: 6 KB/s of
// control traffic per node, and 1,100 requests/s with a claim and an outcome
// each.
#include "Raft/RaftHarness.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t MaxBytesPerSecondAtRest = std::uint64_t{6} * 1024;
// Headers of a message that is sent alone: HTTP/2 frame, length prefix, TCP and
// IP.
constexpr std::uint64_t HeaderBytesPerMessage = 9 + 4 + 52;
constexpr std::uint64_t RestSeconds = 20;
constexpr int Outstanding = 64;
constexpr int Rounds = 20;

} // namespace

TEST_CASE("the idle leader's traffic stays within the budget of a node") {
  for (const std::size_t Members : {3, 5}) {
    RaftHarness H(3, Members, RaftLimits());
    REQUIRE(H.recover());
    const HarnessCounts Before = H.counts();
    H.runWithoutFaults(std::chrono::seconds(RestSeconds));
    const std::uint64_t Messages =
        (H.counts().m_Messages - Before.m_Messages) / RestSeconds;
    const std::uint64_t Bytes =
        (H.counts().m_Bytes - Before.m_Bytes) / RestSeconds +
        Messages * HeaderBytesPerMessage;
    // The leader is the sender or the receiver of every message.
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
    H.runWithoutFaults(20ms);
  }
  const double Commands = Outstanding * Rounds;
  const double Syncs =
      static_cast<double>(H.counts().m_Syncs - Before.m_Syncs) / Commands;
  const double Messages =
      static_cast<double>(H.counts().m_Messages - Before.m_Messages) / Commands;
  INFO(Syncs << " syncs and " << Messages << " messages per command");
  CHECK(H.counts().m_Committed - Before.m_Committed ==
        static_cast<std::uint64_t>(Commands));
  // One sync per member and batch.
  CHECK(Syncs <= 3.0 / Outstanding * 1.5);
  // For each follower a request, its reply, the commit index and its reply, and
  // heartbeats.
  CHECK(Messages <= 8.0 / Outstanding * 1.5);
}

TEST_CASE("one command costs three syncs and eight messages") {
  RaftHarness H(3, 3, RaftLimits());
  REQUIRE(H.recover());
  const HarnessCounts Before = H.counts();
  H.propose(*H.leader(), 1);
  H.runWithoutFaults(20ms);
  CHECK(H.counts().m_Syncs - Before.m_Syncs == 3);
  CHECK(H.counts().m_Messages - Before.m_Messages <= 12);
}
