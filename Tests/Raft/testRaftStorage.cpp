// The data folder: what is read back after a kill at any file operation, and
// what the operator is told of damage.
#include "Raft/MemoryFileSystem.h"
#include "Raft/RaftStorage.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <functional>
#include <set>

#include <unistd.h>

using namespace mangocart;

namespace {

const std::string Folder = "data";

EntryPtr entry(LogIndex Index, Term OfTerm) {
  return std::make_shared<const RaftEntry>(
      RaftEntry{OfTerm, Index, EntryKind::Command, "payload"});
}

SnapshotPtr snapshotAt(LogIndex Index, Term OfTerm) {
  return std::make_shared<const RaftSnapshot>(
      RaftSnapshot{Index, OfTerm, {{{"a", "1"}, true}}, "state"});
}

// What a folder should give back, as text that tests can compare.
std::string describe(const RecoveredState &S) {
  std::string Out = std::to_string(S.m_HardState.m_Term) + "/" +
                    S.m_HardState.m_VotedFor.m_Name;
  if (S.m_Snapshot)
    Out += " s" + std::to_string(S.m_Snapshot->m_LastIndex);
  for (const EntryPtr &E : S.m_Entries)
    Out += " " + std::to_string(E->m_Index) + "." + std::to_string(E->m_Term);
  return Out;
}

// How a snapshot comes to the disk.
enum class Saving {
  // At once.
  Whole,
  // Written beside the one in force first, as by another thread.
  Prepared,
  // As before, after the rest of one that was given up.
  PreparedTwice
};

struct Step {
  std::function<Result<void, StorageError>(RaftStorage &)> m_Run;
  // What is read back once the step is done.
  std::string m_After;
};

Result<void, StorageError> write(RaftStorage &S, const PersistLog &Records) {
  S.append(Records);
  return S.sync();
}

Result<void, StorageError> save(RaftStorage &S, MemoryFileSystem *Files,
                                Saving How, const SaveSnapshot &Snapshot) {
  if (How == Saving::Whole)
    return S.saveSnapshot(Snapshot);
  Result<void, StorageError> Prepared = success();
  if (How == Saving::PreparedTwice)
    Prepared = RaftStorage::prepareSnapshot(*Files, Folder, *snapshotAt(9, 9));
  if (Prepared)
    Prepared =
        RaftStorage::prepareSnapshot(*Files, Folder, *Snapshot.m_Snapshot);
  return S.savePreparedSnapshot(Snapshot, Prepared);
}

// The life of a folder: votes, entries, an overwritten suffix, snapshots.
std::vector<Step> life(MemoryFileSystem *Files = nullptr,
                       Saving How = Saving::Whole) {
  return {
      {[](RaftStorage &S) {
         return write(S, {RaftHardState{1, {"a", "1"}}, 0, {entry(1, 1)}});
       },
       "1/a 1.1"},
      {[](RaftStorage &S) {
         return write(S, {{}, 0, {entry(2, 1), entry(3, 1)}});
       },
       "1/a 1.1 2.1 3.1"},
      {[](RaftStorage &S) {
         return write(S, {RaftHardState{2, {}}, 3, {entry(3, 2)}});
       },
       "2/ 1.1 2.1 3.2"},
      {[=](RaftStorage &S) {
         return save(S, Files, How, {snapshotAt(2, 1), {entry(3, 2)}});
       },
       "2/ s2 3.2"},
      {[](RaftStorage &S) {
         return write(S, {{}, 0, {entry(4, 2), entry(5, 2), entry(6, 2)}});
       },
       "2/ s2 3.2 4.2 5.2 6.2"},
      // From another leader: what the log holds after it is void.
      {[=](RaftStorage &S) {
         return save(S, Files, How, {snapshotAt(4, 3), {}});
       },
       "2/ s4"},
      {[](RaftStorage &S) {
         return write(S, {RaftHardState{4, {}}, 0, {entry(5, 4)}});
       },
       "4/ s4 5.4"},
  };
}

std::string reopened(MemoryFileSystem &Files, Random &Generator) {
  auto Opened = RaftStorage::open(Files, Folder, Generator);
  return Opened ? describe(Opened.value()->recovered())
                : Opened.error().m_Message;
}

// Steps until one fails; the texts that may be read back then.
std::set<std::string> runLife(MemoryFileSystem &Files, Random &Generator,
                              Saving How = Saving::Whole) {
  auto Opened = RaftStorage::open(Files, Folder, Generator);
  std::string Before = "0/";
  if (!Opened)
    return {Before};
  for (const Step &S : life(&Files, How)) {
    const auto Done = S.m_Run(*Opened.value());
    if (!Done) {
      // Never tried again.
      const int Operations = Files.m_Operations;
      CHECK(write(*Opened.value(), {{}, 0, {entry(99, 9)}}).has_error());
      CHECK(Files.m_Operations == Operations);
      return {Before, S.m_After};
    }
    Before = S.m_After;
  }
  return {Before};
}

} // namespace

TEST_CASE("a kill at any file operation loses nothing that was synced") {
  const Saving How =
      GENERATE(Saving::Whole, Saving::Prepared, Saving::PreparedTwice);
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    bool Failed = true;
    for (int FailAt = 1; Failed; ++FailAt) {
      Random Generator(Seed);
      MemoryFileSystem Files;
      Files.m_FailAt = FailAt;
      const std::set<std::string> Allowed = runLife(Files, Generator, How);
      Failed = Files.m_Operations >= FailAt;
      Files.crash(Generator);
      const std::string Found = reopened(Files, Generator);
      INFO("seed " << Seed << ", operation " << FailAt << ": " << Found);
      CHECK(Allowed.contains(Found));
      CHECK(reopened(Files, Generator) == Found);
    }
  }
}

TEST_CASE("damage stops the start with file, offset and remedy") {
  using Damage = std::function<void(MemoryFileSystem &)>;
  const auto Flip = [](const std::string &Name, std::size_t Offset) {
    return
        [=](MemoryFileSystem &F) { F.m_Names.at(Name)->m_Bytes[Offset] ^= 1; };
  };
  const auto Lose = [](const std::string &Name) {
    return [=](MemoryFileSystem &F) { F.m_Names.erase(Name); };
  };
  struct Row {
    std::string m_Name;
    Damage m_Damage;
    std::string m_Expected;
  };
  const std::vector<Row> Rows = {
      {"first record", Flip("data/log-3", 9),
       "data/log-3 at offset 0: the log is damaged before its end"},
      {"length of the first record", Flip("data/log-3", 0),
       "data/log-3 at offset 0: the log is damaged before its end"},
      {"snapshot", Flip("data/snapshot", 20),
       "data/snapshot at offset 0: the snapshot can't be read"},
      {"identity", Flip("data/identity", 9),
       "data/identity at offset 0: the storage id can't be read"},
      {"lost log", Lose("data/log-3"),
       "data/log-1 at offset 0: the log is missing"},
      {"lost snapshot", Lose("data/snapshot"),
       "data/snapshot at offset 0: the snapshot that the log goes on from is "
       "missing"},
      {"lost identity", Lose("data/identity"),
       "data/identity at offset 0: the file is missing"},
  };
  for (const Row &R : Rows) {
    Random Generator(1);
    MemoryFileSystem Files;
    runLife(Files, Generator);
    R.m_Damage(Files);
    const std::string Found = reopened(Files, Generator);
    INFO(R.m_Name << ": " << Found);
    CHECK(Found.starts_with(R.m_Expected));
    CHECK(Found.find("move the data folder away") != std::string::npos);
  }
}

TEST_CASE("a torn tail is cut off at every length") {
  Random Generator(1);
  MemoryFileSystem Whole;
  runLife(Whole, Generator);
  const std::string Bytes = Whole.m_Names.at("data/log-3")->m_Bytes;
  std::size_t Length = Bytes.size();
  // Cut bytes off, or spoil the last one: the last batch is gone, no other.
  for (std::size_t Cut = 1; Cut < 20; ++Cut) {
    Whole.m_Names.at("data/log-3")->m_Bytes = Bytes.substr(0, Length - Cut);
    CHECK(reopened(Whole, Generator) == "2/ s4");
    // The next record stands where the torn one stood.
    auto Opened = RaftStorage::open(Whole, Folder, Generator);
    CHECK(write(*Opened.value(), {{}, 0, {entry(5, 6)}}).has_value());
    CHECK(reopened(Whole, Generator) == "2/ s4 5.6");
  }
  Whole.m_Names.at("data/log-3")->m_Bytes = Bytes;
  Whole.m_Names.at("data/log-3")->m_Bytes.back() ^= 1;
  CHECK(reopened(Whole, Generator) == "2/ s4");
}

TEST_CASE("errors of the disk name operation, file and remedy") {
  struct Row {
    std::string m_Operation;
    std::string m_Expected;
  };
  const std::vector<Row> Rows = {
      {"lock",
       "data: lock failed: No space left on device; stop the other process"},
      {"append", "data/log-1.tmp: append failed: No space left on device; the "
                 "process ends"},
      {"sync", "data/log-1.tmp: sync failed: No space left on device; the "
               "process ends"},
      {"sync folder",
       "data: sync folder failed: No space left on device; the process ends"},
      {"rename", "data/log-1.tmp: rename failed: No space left on device; the "
                 "process ends"},
  };
  for (const Row &R : Rows) {
    Random Generator(1);
    MemoryFileSystem Files;
    Files.m_FailOnly = R.m_Operation;
    Files.m_FailAt = 1;
    const std::string Found = reopened(Files, Generator);
    INFO(Found);
    CHECK(Found.starts_with(R.m_Expected));
  }
}

TEST_CASE("files on a real disk are read back, by one process at a time") {
  const std::string Real = std::filesystem::temp_directory_path().string() +
                           "/mangocart-storage-" + std::to_string(::getpid());
  Random Generator(7);
  std::string StorageId;
  {
    auto Files = makePosixFileSystem();
    auto Opened = RaftStorage::open(*Files, Real, Generator);
    REQUIRE(Opened.has_value());
    StorageId = Opened.value()->storageId();
    for (const Step &S : life())
      REQUIRE(S.m_Run(*Opened.value()).has_value());
    auto Second = makePosixFileSystem();
    auto Refused = RaftStorage::open(*Second, Real, Generator);
    REQUIRE(Refused.has_error());
    CHECK(Refused.error().m_Code == StorageErrorCode::Locked);
  }
  auto Files = makePosixFileSystem();
  auto Opened = RaftStorage::open(*Files, Real, Generator);
  REQUIRE(Opened.has_value());
  CHECK(Opened.value()->storageId() == StorageId);
  CHECK(describe(Opened.value()->recovered()) == life().back().m_After);
  std::filesystem::remove_all(Real);
}

TEST_CASE("a snapshot that was never put in place is removed at the start") {
  Random Generator(1);
  MemoryFileSystem Files;
  runLife(Files, Generator);
  REQUIRE(RaftStorage::prepareSnapshot(Files, Folder, *snapshotAt(9, 9)));
  const std::size_t Before = Files.m_Names.size();
  CHECK(reopened(Files, Generator) == life().back().m_After);
  CHECK(Files.m_Names.size() == Before - 1);
}
