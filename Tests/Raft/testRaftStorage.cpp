// The data folder: its content after a kill at any file operation, and the
// errors reported for corruption.
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

EntryPtr entry(LogIndex Index, Term EntryTerm) {
  return std::make_shared<const RaftEntry>(
      RaftEntry{EntryTerm, Index, EntryKind::Command, "payload"});
}

SnapshotPtr snapshotAt(LogIndex Index, Term EntryTerm) {
  return std::make_shared<const RaftSnapshot>(
      RaftSnapshot{Index, EntryTerm, {{{"a", "1"}, true}}, "state"});
}

// The content of a folder as text that tests can compare.
std::string describe(const RecoveredState &S) {
  std::string Out = std::to_string(S.m_HardState.m_Term) + "/" +
                    S.m_HardState.m_VotedFor.m_Name;
  if (S.m_Snapshot)
    Out += " s" + std::to_string(S.m_Snapshot->m_LastIndex);
  for (const EntryPtr &E : S.m_Entries)
    Out += " " + std::to_string(E->m_Index) + "." + std::to_string(E->m_Term);
  return Out;
}

// How a snapshot is written to the disk.
enum class SnapshotWrite {
  // By saveSnapshot().
  Whole,
  // By prepareSnapshot(), as on another thread, and savePreparedSnapshot().
  Prepared,
  // As Prepared, after an abandoned prepared snapshot.
  PreparedTwice
};

struct Step {
  std::function<Result<void, StorageError>(RaftStorage &)> m_Run;
  // Expected content of the folder after the step.
  std::string m_After;
};

Result<void, StorageError> write(RaftStorage &S, const PersistLog &Records) {
  S.append(Records);
  return S.sync();
}

Result<void, StorageError> save(RaftStorage &S, MemoryFileSystem *Files,
                                SnapshotWrite Mode,
                                const SaveSnapshot &Snapshot) {
  if (Mode == SnapshotWrite::Whole)
    return S.saveSnapshot(Snapshot);
  Result<void, StorageError> Prepared = success();
  if (Mode == SnapshotWrite::PreparedTwice)
    Prepared = RaftStorage::prepareSnapshot(*Files, Folder, *snapshotAt(9, 9));
  if (Prepared)
    Prepared =
        RaftStorage::prepareSnapshot(*Files, Folder, *Snapshot.m_Snapshot);
  return S.savePreparedSnapshot(Snapshot, Prepared);
}

// The operations on a folder: votes, entries, an overwritten suffix, snapshots.
std::vector<Step> folderSteps(MemoryFileSystem *Files = nullptr,
                              SnapshotWrite Mode = SnapshotWrite::Whole) {
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
         return save(S, Files, Mode, {snapshotAt(2, 1), {entry(3, 2)}});
       },
       "2/ s2 3.2"},
      {[](RaftStorage &S) {
         return write(S, {{}, 0, {entry(4, 2), entry(5, 2), entry(6, 2)}});
       },
       "2/ s2 3.2 4.2 5.2 6.2"},
      // From another leader: later entries of the log are invalid.
      {[=](RaftStorage &S) {
         return save(S, Files, Mode, {snapshotAt(4, 3), {}});
       },
       "2/ s4"},
      {[](RaftStorage &S) {
         return write(S, {RaftHardState{4, {}}, 0, {entry(5, 4)}});
       },
       "4/ s4 5.4"},
  };
}

std::string reopen(MemoryFileSystem &Files, Random &Generator) {
  auto Opened = RaftStorage::open(Files, Folder, Generator);
  return Opened ? describe(Opened.value()->recovered())
                : Opened.error().m_Message;
}

// Runs the steps until one fails; returns the allowed contents of the folder.
std::set<std::string>
runFolderSteps(MemoryFileSystem &Files, Random &Generator,
               SnapshotWrite Mode = SnapshotWrite::Whole) {
  auto Opened = RaftStorage::open(Files, Folder, Generator);
  std::string Before = "0/";
  if (!Opened)
    return {Before};
  for (const Step &S : folderSteps(&Files, Mode)) {
    const auto Done = S.m_Run(*Opened.value());
    if (!Done) {
      // Nothing is retried after an error.
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
  const SnapshotWrite Mode =
      GENERATE(SnapshotWrite::Whole, SnapshotWrite::Prepared,
               SnapshotWrite::PreparedTwice);
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    bool Failed = true;
    for (int FailAt = 1; Failed; ++FailAt) {
      Random Generator(Seed);
      MemoryFileSystem Files;
      Files.m_FailAt = FailAt;
      const std::set<std::string> Allowed =
          runFolderSteps(Files, Generator, Mode);
      Failed = Files.m_Operations >= FailAt;
      Files.crash(Generator);
      const std::string Found = reopen(Files, Generator);
      INFO("seed " << Seed << ", operation " << FailAt << ": " << Found);
      CHECK(Allowed.contains(Found));
      CHECK(reopen(Files, Generator) == Found);
    }
  }
}

namespace {

// What becomes of the files when the process ends in an operation.
enum class Interruption {
  // The process is killed; what it has written remains.
  Kill,
  // Unsynced data is lost, except for a random part of the last writes.
  PowerLoss
};

void interrupt(MemoryFileSystem &Files, Interruption Kind, Random &Generator) {
  if (Kind == Interruption::Kill)
    Files.kill();
  else
    Files.crash(Generator);
}

// Where the log ends that a snapshot replaces.
enum class OldLog {
  BeforeSnapshot,
  // At the snapshot's last index, with an entry of another leader.
  AtSnapshot,
  // Behind the snapshot, with entries of another leader.
  BehindSnapshot,
  // Behind the snapshot, with the entries that follow it.
  ContinuesSnapshot
};

// A change of a folder of any content. Content is that of the folder; the
// change is made to both.
using Change =
    std::function<Result<void, StorageError>(RaftStorage &, RecoveredState &)>;

LogIndex lastIndex(const RecoveredState &S) {
  if (!S.m_Entries.empty())
    return S.m_Entries.back()->m_Index;
  return S.m_Snapshot ? S.m_Snapshot->m_LastIndex : 0;
}

Change appendEntries(std::size_t Count) {
  return [=](RaftStorage &Storage, RecoveredState &Content) {
    ++Content.m_HardState.m_Term;
    PersistLog Records;
    Records.m_HardState = Content.m_HardState;
    for (std::size_t I = 0; I < Count; ++I) {
      Records.m_Entries.push_back(
          entry(lastIndex(Content) + 1, Content.m_HardState.m_Term));
      Content.m_Entries.push_back(Records.m_Entries.back());
    }
    return write(Storage, Records);
  };
}

// Two entries must follow the snapshot.
Change saveSnapshot(OldLog Log) {
  return [=](RaftStorage &Storage, RecoveredState &Content) {
    const LogIndex Last = lastIndex(Content);
    const Term OtherTerm = Content.m_HardState.m_Term + 1;
    SaveSnapshot Save;
    if (Log == OldLog::BeforeSnapshot)
      Save.m_Snapshot = snapshotAt(Last + 3, OtherTerm);
    else if (Log == OldLog::AtSnapshot)
      Save.m_Snapshot = snapshotAt(Last, OtherTerm);
    else if (Log == OldLog::BehindSnapshot)
      Save.m_Snapshot = snapshotAt(Last - 1, OtherTerm);
    else
      Save = {snapshotAt(Last - 1, Content.m_Entries.rbegin()[1]->m_Term),
              {Content.m_Entries.back()}};
    Content.m_Snapshot = Save.m_Snapshot;
    Content.m_Entries = Save.m_Entries;
    return Storage.saveSnapshot(Save);
  };
}

// Makes the changes until one fails; returns the contents of the folder that
// are allowed then.
std::set<std::string> makeChanges(const std::vector<Change> &Changes,
                                  RaftStorage &Storage,
                                  RecoveredState Content) {
  std::string Before = describe(Content);
  for (const Change &Each : Changes) {
    const auto Done = Each(Storage, Content);
    if (!Done)
      return {Before, describe(Content)};
    Before = describe(Content);
  }
  return {Before};
}

// A start of a process that must find one of the allowed contents and makes the
// changes. Returns the allowed contents at its end; the same as before if the
// start was interrupted.
std::set<std::string> startAndChange(MemoryFileSystem &Files, Random &Generator,
                                     const std::set<std::string> &Allowed,
                                     const std::vector<Change> &Changes) {
  auto Opened = RaftStorage::open(Files, Folder, Generator);
  if (!Opened) {
    INFO(Opened.error().m_Message);
    CHECK(Opened.error().m_Code != StorageErrorCode::Corrupt);
    return Allowed;
  }
  const RecoveredState Content = Opened.value()->recovered();
  INFO("found " << describe(Content));
  CHECK(Allowed.contains(describe(Content)));
  return makeChanges(Changes, *Opened.value(), Content);
}

} // namespace

// Guards against a log that is older than its snapshot and is written on: the
// start after the next one found a gap, or dropped the new entries.
TEST_CASE("a folder is written on after each of two interruptions") {
  const Interruption Kind =
      GENERATE(Interruption::Kill, Interruption::PowerLoss);
  const OldLog Log =
      GENERATE(OldLog::BeforeSnapshot, OldLog::AtSnapshot,
               OldLog::BehindSnapshot, OldLog::ContinuesSnapshot);
  const std::vector<Change> Changes = {appendEntries(3), saveSnapshot(Log),
                                       appendEntries(2)};
  const auto Seed = GENERATE(range<std::uint64_t>(1, 4));
  bool IsFirstInterrupted = true;
  for (int First = 1; IsFirstInterrupted; ++First) {
    bool IsSecondInterrupted = true;
    for (int Second = 1; IsSecondInterrupted; ++Second) {
      INFO("seed " << Seed << ", operations " << First << " and " << Second);
      Random Generator(Seed);
      MemoryFileSystem Files;
      Files.m_FailAt = First;
      std::set<std::string> Allowed =
          startAndChange(Files, Generator, {"0/"}, Changes);
      IsFirstInterrupted = Files.m_Operations >= First;
      interrupt(Files, Kind, Generator);
      Files.m_FailAt = Second;
      Allowed = startAndChange(Files, Generator, Allowed, Changes);
      IsSecondInterrupted = Files.m_Operations >= Second;
      interrupt(Files, Kind, Generator);
      // Two more whole starts.
      Allowed = startAndChange(Files, Generator, Allowed, Changes);
      startAndChange(Files, Generator, Allowed, {});
    }
  }
}

TEST_CASE("corruption fails the start with file, offset and remedy") {
  using Damage = std::function<void(MemoryFileSystem &)>;
  const auto FlipBit = [](const std::string &Name, std::size_t Offset) {
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
      {"first record", FlipBit("data/log-3", 9),
       "data/log-3 at offset 0: the log is damaged before its end"},
      {"length of the first record", FlipBit("data/log-3", 0),
       "data/log-3 at offset 0: the log is damaged before its end"},
      {"snapshot", FlipBit("data/snapshot", 20),
       "data/snapshot at offset 0: the snapshot can't be read"},
      {"identity", FlipBit("data/identity", 9),
       "data/identity at offset 0: the storage id can't be read"},
      {"lost log", Lose("data/log-3"),
       "data/log-1 at offset 0: the log is missing"},
      {"lost snapshot", Lose("data/snapshot"),
       "data/snapshot at offset 0: the snapshot that precedes the log is "
       "missing"},
      {"lost identity", Lose("data/identity"),
       "data/identity at offset 0: the file is missing"},
  };
  for (const Row &R : Rows) {
    Random Generator(1);
    MemoryFileSystem Files;
    runFolderSteps(Files, Generator);
    R.m_Damage(Files);
    const std::string Found = reopen(Files, Generator);
    INFO(R.m_Name << ": " << Found);
    CHECK(Found.starts_with(R.m_Expected));
    CHECK(Found.find("move the data folder away") != std::string::npos);
  }
}

TEST_CASE("a torn tail of any length is truncated") {
  Random Generator(1);
  MemoryFileSystem Whole;
  runFolderSteps(Whole, Generator);
  const std::string Bytes = Whole.m_Names.at("data/log-3")->m_Bytes;
  std::size_t Length = Bytes.size();
  // Truncating the file or corrupting its last byte loses only the last batch.
  for (std::size_t Cut = 1; Cut < 20; ++Cut) {
    Whole.m_Names.at("data/log-3")->m_Bytes = Bytes.substr(0, Length - Cut);
    CHECK(reopen(Whole, Generator) == "2/ s4");
    // The next record is written at the offset of the torn one.
    auto Opened = RaftStorage::open(Whole, Folder, Generator);
    CHECK(write(*Opened.value(), {{}, 0, {entry(5, 6)}}).has_value());
    CHECK(reopen(Whole, Generator) == "2/ s4 5.6");
  }
  Whole.m_Names.at("data/log-3")->m_Bytes = Bytes;
  Whole.m_Names.at("data/log-3")->m_Bytes.back() ^= 1;
  CHECK(reopen(Whole, Generator) == "2/ s4");
}

TEST_CASE("disk errors name operation, file and remedy") {
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
    const std::string Found = reopen(Files, Generator);
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
    for (const Step &S : folderSteps())
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
  CHECK(describe(Opened.value()->recovered()) == folderSteps().back().m_After);
  std::filesystem::remove_all(Real);
}

TEST_CASE(
    "a prepared snapshot that was never renamed is removed at the start") {
  Random Generator(1);
  MemoryFileSystem Files;
  runFolderSteps(Files, Generator);
  REQUIRE(RaftStorage::prepareSnapshot(Files, Folder, *snapshotAt(9, 9)));
  const std::size_t Before = Files.m_Names.size();
  CHECK(reopen(Files, Generator) == folderSteps().back().m_After);
  CHECK(Files.m_Names.size() == Before - 1);
}
