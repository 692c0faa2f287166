// Reads and writes the files of the data folder.
#include "Raft/RaftStorage.h"

#include "Raft.pb.h"
#include "Raft/FileSystem.h"
#include "Raft/RaftCodec.h"
#include "Raft/RecordFile.h"

#include <fmt/format.h>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/wire_format_lite.h>

#include <algorithm>
#include <charconv>
#include <type_traits>
#include <utility>

namespace mangocart {

namespace {

constexpr std::string_view IdentityName = "identity";
constexpr std::string_view SnapshotName = "snapshot";
constexpr std::string_view LogPrefix = "log-";
constexpr std::string_view TemporarySuffix = ".tmp";
// A snapshot that is written while the current one stays in place.
constexpr std::string_view PreparedName = "snapshot-prepared.tmp";

std::string logName(std::uint64_t Number) {
  return std::string(LogPrefix) + std::to_string(Number);
}

// Nothing if the name is not that of a log file.
std::optional<std::uint64_t> logNumber(std::string_view Name) {
  if (!Name.starts_with(LogPrefix))
    return std::nullopt;
  Name.remove_prefix(LogPrefix.size());
  std::uint64_t Number = 0;
  const auto Parsed =
      std::from_chars(Name.data(), Name.data() + Name.size(), Number);
  if (Parsed.ec != std::errc() || Parsed.ptr != Name.data() + Name.size())
    return std::nullopt;
  return Number;
}

std::string generateStorageId(Random &Generator) {
  return fmt::format("{:016x}", Generator());
}

// The serialized StoredSnapshot up to the content of its last field, m_Data, so
// that a large state is not copied before it is written.
std::string encodeSnapshotPrefix(const RaftSnapshot &Snapshot) {
  using google::protobuf::internal::WireFormatLite;
  schema::StoredSnapshot Out;
  Out.set_last_index(Snapshot.m_LastIndex);
  Out.set_last_term(Snapshot.m_LastTerm);
  Out.mutable_members()->ParseFromString(encodeMembers(Snapshot.m_Members));
  std::string Bytes = Out.SerializeAsString();
  google::protobuf::io::StringOutputStream Stream(&Bytes);
  google::protobuf::io::CodedOutputStream Coded(&Stream);
  Coded.WriteTag(
      WireFormatLite::MakeTag(schema::StoredSnapshot::kDataFieldNumber,
                              WireFormatLite::WIRETYPE_LENGTH_DELIMITED));
  Coded.WriteVarint64(Snapshot.m_Data.size());
  Coded.Trim();
  return Bytes;
}

bool parse(google::protobuf::MessageLite &Out, std::string_view Bytes) {
  return Out.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size()));
}

} // namespace

RaftStorage::RaftStorage(FileSystem &Files, std::string Folder)
    : m_Files(Files), m_Folder(std::move(Folder)),
      m_Batch(std::make_unique<schema::LogBatch>()) {}

RaftStorage::~RaftStorage() = default;

std::string RaftStorage::path(const std::string &Name) const {
  return m_Folder + "/" + Name;
}

Result<std::unique_ptr<RaftStorage>, StorageError>
RaftStorage::open(FileSystem &Files, const std::string &Folder,
                  Random &Generator) {
  std::unique_ptr<RaftStorage> Storage(new RaftStorage(Files, Folder));
  BOOST_OUTCOME_TRYV(translate(Files.makeFolder(Folder)));
  BOOST_OUTCOME_TRYV(translate(Files.lockFolder(Folder)));
  BOOST_OUTCOME_TRYV(Storage->load(Generator));
  return Storage;
}

// ---- Reading.

Result<void, StorageError> RaftStorage::load(Random &Generator) {
  BOOST_OUTCOME_TRY(const auto Names, translate(m_Files.list(m_Folder)));
  const auto Exists = [&](std::string_view Name) {
    return std::find(Names.begin(), Names.end(), Name) != Names.end();
  };
  for (const std::string &Name : Names)
    m_LogNumber = std::max(m_LogNumber, logNumber(Name).value_or(0));
  if (!Exists(IdentityName)) {
    // The identity is the last file written when a data folder is created.
    if (Exists(SnapshotName) || m_LogNumber > 1)
      return corruptionError(path(std::string(IdentityName)), 0,
                             "the file is missing");
    return create(Generator);
  }
  const std::string File = path(std::string(IdentityName));
  BOOST_OUTCOME_TRY(const auto Bytes, translate(m_Files.read(File)));
  const RecordScan Scan = scanRecords(Bytes);
  schema::StorageIdentity Identity;
  if (Scan.m_Payloads.size() != 1 || !parse(Identity, Scan.m_Payloads[0]) ||
      Identity.storage_id().empty())
    return corruptionError(File, 0, "the storage id can't be read");
  m_StorageId = Identity.storage_id();
  if (Exists(PreparedName)) {
    BOOST_OUTCOME_TRYV(
        translate(m_Files.remove(path(std::string(PreparedName)))));
  }
  if (m_LogNumber == 0)
    return corruptionError(path(logName(1)), 0, "the log is missing");
  if (Exists(SnapshotName)) {
    BOOST_OUTCOME_TRYV(loadSnapshot());
  }
  BOOST_OUTCOME_TRYV(loadLog());
  for (const std::string &Name : Names) {
    if (logNumber(Name).value_or(m_LogNumber) < m_LogNumber) {
      BOOST_OUTCOME_TRYV(translate(m_Files.remove(path(Name))));
    }
  }
  return success();
}

Result<void, StorageError> RaftStorage::create(Random &Generator) {
  if (m_LogNumber > 0) {
    BOOST_OUTCOME_TRYV(translate(m_Files.remove(path(logName(m_LogNumber)))));
  }
  m_LogNumber = 0;
  BOOST_OUTCOME_TRYV(startLog({}));
  schema::StorageIdentity Identity;
  Identity.set_storage_id(generateStorageId(Generator));
  m_StorageId = Identity.storage_id();
  return writeAtomically(std::string(IdentityName),
                         {Identity.SerializeAsString()});
}

Result<void, StorageError> RaftStorage::loadSnapshot() {
  const std::string File = path(std::string(SnapshotName));
  BOOST_OUTCOME_TRY(const auto Bytes, translate(m_Files.read(File)));
  const RecordScan Scan = scanRecords(Bytes);
  schema::StoredSnapshot Stored;
  if (Scan.m_Payloads.size() != 1 || Scan.m_Torn ||
      !parse(Stored, Scan.m_Payloads[0]))
    return corruptionError(File, Scan.m_End, "the snapshot can't be read");
  RaftSnapshot Snapshot;
  Snapshot.m_LastIndex = Stored.last_index();
  Snapshot.m_LastTerm = Stored.last_term();
  Snapshot.m_Members = *decodeMembers(Stored.members().SerializeAsString());
  Snapshot.m_Data = std::move(*Stored.mutable_data());
  m_Recovered.m_Snapshot =
      std::make_shared<const RaftSnapshot>(std::move(Snapshot));
  return success();
}

Result<void, StorageError> RaftStorage::loadLog() {
  const std::string File = path(logName(m_LogNumber));
  BOOST_OUTCOME_TRY(const auto Bytes, translate(m_Files.read(File)));
  const RecordScan Scan = scanRecords(Bytes);
  if (Scan.m_Corrupt || Scan.m_Payloads.empty())
    return corruptionError(File, Scan.m_End,
                           Scan.m_Corrupt ? "the log is damaged before its end"
                                          : "the log has no first record");
  for (const std::string_view Payload : Scan.m_Payloads) {
    schema::LogBatch Batch;
    if (!parse(Batch, Payload))
      return corruptionError(File, 0, "the log holds an unknown record");
    BOOST_OUTCOME_TRYV(replayBatch(Batch));
  }
  if (Scan.m_Torn) {
    BOOST_OUTCOME_TRYV(translate(m_Files.truncate(File, Scan.m_End)));
    BOOST_OUTCOME_TRYV(translate(m_Files.syncFile(File)));
  }
  m_LogBytes = Scan.m_End;
  const LogIndex SnapshotIndex =
      m_Recovered.m_Snapshot ? m_Recovered.m_Snapshot->m_LastIndex : 0;
  if (m_BaseIndex > SnapshotIndex)
    return corruptionError(path(std::string(SnapshotName)), 0,
                           "the snapshot that precedes the log is missing");
  m_Recovered.m_HardState = m_HardState;
  if (m_BaseIndex < SnapshotIndex)
    return replaceStaleLog();
  return success();
}

Result<void, StorageError>
RaftStorage::replayBatch(const schema::LogBatch &Batch) {
  EntryList &Entries = m_Recovered.m_Entries;
  for (const schema::LogRecord &Record : Batch.records()) {
    if (Record.has_base()) {
      m_BaseIndex = Record.base().index();
      m_BaseTerm = Record.base().term();
    } else if (Record.has_hard_state()) {
      m_HardState = fromSchema(Record.hard_state());
    } else if (Record.has_entry()) {
      Entries.push_back(fromSchema(schema::LogEntry(Record.entry())));
      if (Entries.back()->m_Index != m_BaseIndex + Entries.size())
        return corruptionError(path(logName(m_LogNumber)), 0,
                               "an entry is missing");
    } else if (Record.truncate_from() > m_BaseIndex &&
               Record.truncate_from() <= m_BaseIndex + Entries.size()) {
      Entries.resize(Record.truncate_from() - m_BaseIndex - 1);
    }
  }
  return success();
}

// Completes a saveSnapshot() that was interrupted between its two files. The
// old log begins before the snapshot, and may end before it or hold entries of
// another leader: appended to it, the entries that follow the snapshot could
// not be read again. Entries after the snapshot are kept only if they continue
// from it.
Result<void, StorageError> RaftStorage::replaceStaleLog() {
  EntryList &Entries = m_Recovered.m_Entries;
  const RaftSnapshot &Snapshot = *m_Recovered.m_Snapshot;
  const std::size_t Covered = Snapshot.m_LastIndex - m_BaseIndex;
  const bool Continues = Covered <= Entries.size() &&
                         Entries[Covered - 1]->m_Term == Snapshot.m_LastTerm;
  if (Continues)
    Entries.erase(Entries.begin(),
                  Entries.begin() + static_cast<std::ptrdiff_t>(Covered));
  else
    Entries.clear();
  m_BaseIndex = Snapshot.m_LastIndex;
  m_BaseTerm = Snapshot.m_LastTerm;
  return startLog(Entries);
}

// ---- Writing.

void RaftStorage::append(const PersistLog &Records) {
  if (Records.m_HardState) {
    m_HardState = *Records.m_HardState;
    toSchema(m_HardState, *m_Batch->add_records()->mutable_hard_state());
  }
  if (Records.m_TruncateFrom != 0)
    m_Batch->add_records()->set_truncate_from(Records.m_TruncateFrom);
  for (const EntryPtr &Entry : Records.m_Entries)
    toSchema(*Entry, *m_Batch->add_records()->mutable_entry());
}

Result<void, StorageError> RaftStorage::sync() {
  if (m_Error)
    return *m_Error;
  if (m_Batch->records().empty())
    return success();
  const std::string Record = encodeRecord(m_Batch->SerializeAsString());
  m_Batch->Clear();
  const std::string File = path(logName(m_LogNumber));
  Result<void, FileError> Done = m_Files.append(File, Record);
  if (Done)
    Done = m_Files.syncFile(File);
  if (!Done) {
    m_Error = fromFileError(Done.error());
    return *m_Error;
  }
  m_LogBytes += Record.size();
  ++m_SyncCount;
  return success();
}

Result<void, StorageError> RaftStorage::saveSnapshot(const SaveSnapshot &Save) {
  return saveWith(Save, [&] {
    return writeAtomically(
        std::string(SnapshotName),
        {encodeSnapshotPrefix(*Save.m_Snapshot), Save.m_Snapshot->m_Data});
  });
}

Result<void, StorageError>
RaftStorage::savePreparedSnapshot(const SaveSnapshot &Save,
                                  const Result<void, StorageError> &Prepared) {
  return saveWith(Save, [&] {
    return Prepared ? renameIntoPlace(path(std::string(PreparedName)),
                                      std::string(SnapshotName))
                    : Prepared;
  });
}

// The log is replaced only after the snapshot is durable under its final name.
Result<void, StorageError> RaftStorage::saveWith(
    const SaveSnapshot &Save,
    const std::function<Result<void, StorageError>()> &WriteSnapshot) {
  BOOST_OUTCOME_TRYV(sync());
  const std::uint64_t OldLog = m_LogNumber;
  m_BaseIndex = Save.m_Snapshot->m_LastIndex;
  m_BaseTerm = Save.m_Snapshot->m_LastTerm;
  Result<void, StorageError> Done = WriteSnapshot();
  if (Done)
    Done = startLog(Save.m_Entries);
  if (Done)
    Done = translate(m_Files.remove(path(logName(OldLog))));
  if (!Done)
    m_Error = Done.error();
  return Done;
}

Result<void, StorageError>
RaftStorage::prepareSnapshot(FileSystem &Files, const std::string &Folder,
                             const RaftSnapshot &Snapshot) {
  return translate(
      writeRecordFile(Files, Folder + "/" + std::string(PreparedName),
                      {encodeSnapshotPrefix(Snapshot), Snapshot.m_Data}));
}

// Writes the file atomically: after a crash it is complete or absent.
Result<void, StorageError>
RaftStorage::writeAtomically(const std::string &Name,
                             const std::vector<std::string_view> &Parts) {
  const std::string Temporary = path(Name) + std::string(TemporarySuffix);
  BOOST_OUTCOME_TRYV(translate(writeRecordFile(m_Files, Temporary, Parts)));
  return renameIntoPlace(Temporary, Name);
}

// The temporary file must be synced already.
Result<void, StorageError>
RaftStorage::renameIntoPlace(const std::string &Temporary,
                             const std::string &Name) {
  BOOST_OUTCOME_TRYV(translate(m_Files.rename(Temporary, path(Name))));
  BOOST_OUTCOME_TRYV(translate(m_Files.syncFolder(m_Folder)));
  ++m_SyncCount;
  return success();
}

Result<void, StorageError> RaftStorage::startLog(const EntryList &Entries) {
  schema::LogBatch Batch;
  auto &Base = *Batch.add_records()->mutable_base();
  Base.set_index(m_BaseIndex);
  Base.set_term(m_BaseTerm);
  toSchema(m_HardState, *Batch.add_records()->mutable_hard_state());
  for (const EntryPtr &Entry : Entries)
    toSchema(*Entry, *Batch.add_records()->mutable_entry());
  const std::string Payload = Batch.SerializeAsString();
  BOOST_OUTCOME_TRYV(writeAtomically(logName(m_LogNumber + 1), {Payload}));
  ++m_LogNumber;
  m_LogBytes = encodeRecordHeader({}).size() + Payload.size();
  return success();
}

} // namespace mangocart
