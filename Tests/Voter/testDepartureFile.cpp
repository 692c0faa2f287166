// The file of departures: kills and losses of power at each file operation,
// full disks, damage, and its size.
#include "Raft/MemoryFileSystem.h"
#include "Voter/DepartureFile.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

constexpr const char *Folder = "data";
constexpr const char *Path = "data/departures";
constexpr std::uint64_t Start = 1'700'000'000'000;

StoredDeparture departure(const std::string &Server, std::uint64_t Incarnation,
                          std::uint64_t HeardAtMs = Start) {
  StoredDeparture Departure;
  Departure.m_Member.m_BackendServer = Server;
  Departure.m_Member.m_Service = "engines";
  Departure.m_Member.m_AvailabilityZone = "z0";
  Departure.m_Member.m_Address = "10.1.0.9";
  Departure.m_Member.m_PeerPort = 8080;
  Departure.m_Member.m_State = MemberState::Left;
  Departure.m_Member.m_Incarnation = Incarnation;
  Departure.m_Member.m_Counter = 7;
  Departure.m_HeardAtMs = HeardAtMs;
  return Departure;
}

// Small, so that the file is rewritten often.
DepartureFileOptions smallFile() {
  return {.m_Folder = Folder, .m_Retention = 10min, .m_MinRewriteBytes = 300};
}

std::unique_ptr<DepartureFile> open(MemoryFileSystem &Files) {
  auto File = DepartureFile::open(Files, smallFile());
  REQUIRE(File);
  return std::move(File).value();
}

// The stored incarnation of the backend server; 0 if it isn't stored.
std::uint64_t incarnationOf(const DepartureFile &File,
                            const std::string &Server) {
  for (const StoredDeparture &Each : File.departures(Start))
    if (Each.m_Member.m_BackendServer == Server)
      return Each.m_Member.m_Incarnation;
  return 0;
}

// Appends until the first error; returns the last incarnation of each of four
// backend servers whose departure was durable.
std::map<std::string, std::uint64_t> appendUntilError(DepartureFile &File) {
  constexpr std::uint64_t Rounds = 12;
  std::map<std::string, std::uint64_t> Durable;
  for (std::uint64_t I = 1; I <= Rounds; ++I) {
    const std::string Server = fmt::format("i-{}", I % 4);
    if (!File.append({departure(Server, I)}, Start))
      break;
    Durable[Server] = I;
  }
  return Durable;
}

void checkDurable(const DepartureFile &File,
                  const std::map<std::string, std::uint64_t> &Durable) {
  for (const auto &[Server, Incarnation] : Durable)
    CHECK(incarnationOf(File, Server) >= Incarnation);
}

} // namespace

TEST_CASE("departures are read back as they were stored") {
  MemoryFileSystem Files;
  const std::vector<StoredDeparture> Stored = {departure("i-1", 3),
                                               departure("i-2", 0)};
  REQUIRE(open(Files)->append(Stored, Start));
  CHECK(open(Files)->departures(Start) == Stored);
}

// Guards against acknowledged departures that are gone after a restart.
TEST_CASE(
    "a kill or a loss of power at any file operation loses no departure") {
  constexpr int Operations = 60;
  Random Generator(1);
  for (const bool IsPowerLost : {false, true})
    for (int FailAt = 1; FailAt <= Operations; ++FailAt) {
      INFO("operation " << FailAt << (IsPowerLost ? ", power lost" : ""));
      MemoryFileSystem Files;
      auto File = open(Files);
      Files.m_Operations = 0;
      Files.m_FailAt = FailAt;
      std::map<std::string, std::uint64_t> Durable = appendUntilError(*File);
      const auto Stop = [&] {
        if (IsPowerLost)
          Files.crash(Generator);
        else
          Files.kill();
      };
      Stop();
      File = open(Files);
      checkDurable(*File, Durable);
      // What was recovered is appended to, and recovered again.
      REQUIRE(File->append({departure("i-more", 1)}, Start));
      Durable["i-more"] = 1;
      for (const auto &[Server, Incarnation] : appendUntilError(*File))
        Durable[Server] = Incarnation;
      Stop();
      File = open(Files);
      checkDurable(*File, Durable);
    }
}

TEST_CASE("a file that is cut short at any byte is truncated and written on") {
  MemoryFileSystem Whole;
  auto File = open(Whole);
  REQUIRE(File->append({departure("i-1", 1)}, Start));
  const std::size_t First = Whole.m_Names.at(Path)->m_Bytes.size();
  REQUIRE(File->append({departure("i-2", 1)}, Start));
  const std::string Bytes = Whole.m_Names.at(Path)->m_Bytes;
  for (std::size_t Size = First; Size < Bytes.size(); ++Size) {
    INFO("size " << Size);
    MemoryFileSystem Files;
    REQUIRE(Files.append(Path, Bytes.substr(0, Size)));
    File = open(Files);
    CHECK(incarnationOf(*File, "i-1") == 1);
    CHECK(incarnationOf(*File, "i-2") == 0);
    REQUIRE(File->append({departure("i-3", 1)}, Start));
    File = open(Files);
    CHECK(incarnationOf(*File, "i-1") == 1);
    CHECK(incarnationOf(*File, "i-3") == 1);
  }
}

TEST_CASE("a file that is damaged before its end is refused") {
  MemoryFileSystem Files;
  auto File = open(Files);
  REQUIRE(File->append({departure("i-1", 1)}, Start));
  REQUIRE(File->append({departure("i-2", 1)}, Start));
  Files.m_Names.at(Path)->m_Bytes[10] ^= 1;
  const auto Refused = DepartureFile::open(Files, smallFile());
  REQUIRE_FALSE(Refused);
  CHECK(Refused.error().m_Code == StorageErrorCode::Corrupt);
  CHECK(Refused.error().m_File == Path);
}

TEST_CASE("a write that fails for lack of space can be repeated") {
  MemoryFileSystem Files;
  auto File = open(Files);
  REQUIRE(File->append({departure("i-1", 1)}, Start));
  Files.m_FailOnly = "append";
  Files.m_Operations = 0;
  Files.m_FailAt = 1;
  CHECK_FALSE(File->append({departure("i-2", 1)}, Start));
  CHECK_FALSE(File->append({departure("i-2", 1)}, Start));
  CHECK(File->isUsable());
  CHECK(incarnationOf(*File, "i-2") == 0);
  Files.m_FailAt = 0;
  REQUIRE(File->append({departure("i-2", 1)}, Start));
  File = open(Files);
  CHECK(incarnationOf(*File, "i-1") == 1);
  CHECK(incarnationOf(*File, "i-2") == 1);
}

// Guards against a voter that doesn't start while its disk is full.
TEST_CASE("an incomplete record doesn't prevent a start with a full disk") {
  MemoryFileSystem Files;
  auto File = open(Files);
  REQUIRE(File->append({departure("i-1", 1)}, Start));
  Files.m_Names.at(Path)->m_Bytes += "torn";
  Files.m_Operations = 0;
  Files.m_FailAt = 1;
  File = open(Files);
  CHECK(incarnationOf(*File, "i-1") == 1);
  CHECK_FALSE(File->append({departure("i-2", 1)}, Start));
  CHECK(File->isUsable());
  Files.m_FailAt = 0;
  REQUIRE(File->append({departure("i-2", 1)}, Start));
  File = open(Files);
  CHECK(incarnationOf(*File, "i-1") == 1);
  CHECK(incarnationOf(*File, "i-2") == 1);
}

TEST_CASE("a failed sync makes the file unusable") {
  MemoryFileSystem Files;
  auto File = open(Files);
  Files.m_FailOnly = "sync";
  Files.m_Operations = 0;
  Files.m_FailAt = 1;
  CHECK_FALSE(File->append({departure("i-1", 1)}, Start));
  CHECK_FALSE(File->isUsable());
}

TEST_CASE("outdated departures are dropped and the file stays small") {
  constexpr std::uint64_t StepMs = 60'000;
  constexpr std::size_t MaxBytes = 8192;
  MemoryFileSystem Files;
  auto File = open(Files);
  std::uint64_t NowMs = Start;
  std::size_t Largest = 0;
  for (std::uint64_t I = 0; I < 1000; ++I, NowMs += StepMs) {
    REQUIRE(File->append({departure(fmt::format("i-{}", I), 1, NowMs)}, NowMs));
    Largest = std::max(Largest, Files.m_Names.at(Path)->m_Bytes.size());
  }
  CHECK(Largest < MaxBytes);
  File = open(Files);
  CHECK(File->departures(NowMs).size() == 10);
  // A clock that was set back keeps them.
  CHECK(open(Files)->departures(Start).size() >= 10);
}
