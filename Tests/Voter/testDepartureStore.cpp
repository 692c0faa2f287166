// The thread that writes departures: order, errors, and what one sync covers.
#include "Raft/MemoryFileSystem.h"
#include "Voter/DepartureStore.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <future>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

MemberDelta departure(const std::string &Server, Duration Age = 0s) {
  MemberDelta Departure;
  Departure.m_Member.m_BackendServer = Server;
  Departure.m_Member.m_State = MemberState::Left;
  Departure.m_Member.m_Incarnation = 1;
  Departure.m_HeartbeatAge = Age;
  return Departure;
}

std::unique_ptr<DepartureStore> open(MemoryFileSystem *&Files,
                                     MemoryFileSystem::Names Names = {}) {
  auto Owned = std::make_unique<MemoryFileSystem>();
  Owned->m_Names = std::move(Names);
  Files = Owned.get();
  auto Store = DepartureStore::open(std::move(Owned), {.m_Folder = "data"},
                                    [](const FileError &) { FAIL(); });
  REQUIRE(Store);
  return std::move(Store).value();
}

Result<void, std::string> waitUntilStored(DepartureStore &Store) {
  std::promise<Result<void, std::string>> Done;
  Store.whenStored(
      [&](const Result<void, std::string> &R) { Done.set_value(R); });
  return Done.get_future().get();
}

} // namespace

TEST_CASE("stored departures are recovered with the time of their heartbeat") {
  MemoryFileSystem *Files = nullptr;
  auto Store = open(Files);
  const std::uint64_t Before = RuntimeClock::wallMilliseconds();
  Store->store(departure("i-1", 3s));
  Store->store(departure("i-2"));
  REQUIRE(waitUntilStored(*Store));
  auto Again = open(Files, Files->m_Names);
  REQUIRE(Again->recovered().size() == 2);
  const StoredDeparture &First = Again->recovered()[0];
  CHECK(First.m_Member.m_BackendServer == "i-1");
  CHECK(First.m_HeardAtMs + 3000 >= Before);
  CHECK(First.m_HeardAtMs + 2000 <= Before);
}

TEST_CASE("departures that can't be written are written by a later call") {
  MemoryFileSystem *Files = nullptr;
  auto Store = open(Files);
  Files->m_FailOnly = "append";
  Files->m_FailAt = 1;
  Store->store(departure("i-1"));
  CHECK_FALSE(waitUntilStored(*Store));
  CHECK_FALSE(waitUntilStored(*Store));
  Files->m_FailAt = 0;
  CHECK(waitUntilStored(*Store));
  auto Again = open(Files, Files->m_Names);
  CHECK(Again->recovered().size() == 1);
}

TEST_CASE("nothing is written where no departure waits") {
  MemoryFileSystem *Files = nullptr;
  auto Store = open(Files);
  REQUIRE(waitUntilStored(*Store));
  CHECK(Files->m_Operations == 0);
}
