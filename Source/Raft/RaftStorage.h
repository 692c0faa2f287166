// The files of a member: identity, snapshot and log in one data folder.
// docs/RAFT.md describes their format and what is done about damage.
#ifndef MANGOCART_RAFT_RAFTSTORAGE_H
#define MANGOCART_RAFT_RAFTSTORAGE_H

#include "Core/Random.h"
#include "Core/Result.h"
#include "Raft/RaftTypes.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mangocart {

class FileSystem;
namespace schema {
class LogBatch;
} // namespace schema

enum class StorageErrorCode {
  // A file operation failed. What is on disk is unknown: the process must end,
  // and nothing is tried again.
  Failed,
  // A file holds damage that a torn write can't explain, or is missing.
  Damaged,
  // Another process uses the folder.
  Locked
};

struct StorageError {
  StorageErrorCode m_Code = StorageErrorCode::Failed;
  std::string m_File;
  // Where the damage begins; 0 for other errors.
  std::uint64_t m_Offset = 0;
  // One sentence with file, offset and remedy, for the operator.
  std::string m_Message;

  bool operator==(const StorageError &) const = default;
};

class RaftStorage {
public:
  // Reads the folder, which is made if there is none; its storage id is drawn
  // then.
  static Result<std::unique_ptr<RaftStorage>, StorageError>
  open(FileSystem &Files, const std::string &Folder, Random &Generator);

  ~RaftStorage();
  RaftStorage(const RaftStorage &) = delete;
  RaftStorage &operator=(const RaftStorage &) = delete;

  const std::string &storageId() const { return m_StorageId; }
  // What the folder held when it was opened.
  const RecoveredState &recovered() const { return m_Recovered; }

  // Takes the records in; sync() writes them.
  void append(const PersistLog &Records);
  // Returns when everything appended so far is on the disk. After an error
  // every later call returns that error.
  Result<void, StorageError> sync();
  // Replaces snapshot and log. Both are on the disk when it returns.
  Result<void, StorageError> saveSnapshot(const SaveSnapshot &Save);
  // The same for a snapshot of which prepareSnapshot() has said that it lies in
  // the folder: only its name and the log are still to be written. An error of
  // the preparation counts as one of this call.
  Result<void, StorageError>
  savePreparedSnapshot(const SaveSnapshot &Save,
                       const Result<void, StorageError> &Prepared);
  // Writes and syncs a snapshot beside the one in force, which stays. From any
  // thread, one call at a time, with Files that no other thread uses.
  static Result<void, StorageError>
  prepareSnapshot(FileSystem &Files, const std::string &Folder,
                  const RaftSnapshot &Snapshot);

  std::uint64_t logBytes() const { return m_LogBytes; }
  std::uint64_t syncCount() const { return m_SyncCount; }

private:
  RaftStorage(FileSystem &Files, std::string Folder);
  Result<void, StorageError> load(Random &Generator);
  Result<void, StorageError> create(Random &Generator);
  Result<void, StorageError> loadSnapshot();
  Result<void, StorageError> loadLog();
  Result<void, StorageError> takeBatch(const schema::LogBatch &Batch);
  void dropUnlinkedEntries();
  Result<void, StorageError>
  writeWhole(const std::string &Name,
             const std::vector<std::string_view> &Pieces);
  Result<void, StorageError> putInPlace(const std::string &Temporary,
                                        const std::string &Name);

  Result<void, StorageError>
  saveWith(const SaveSnapshot &Save,
           const std::function<Result<void, StorageError>()> &PutSnapshot);
  Result<void, StorageError> startLog(const EntryList &Entries);
  std::string path(const std::string &Name) const;

  FileSystem &m_Files;
  std::string m_Folder;
  std::string m_StorageId;
  RecoveredState m_Recovered;
  RaftHardState m_HardState;
  // Base of the log file that is open.
  LogIndex m_BaseIndex = 0;
  Term m_BaseTerm = 0;
  // Each new log file has the next number; only the highest one counts.
  std::uint64_t m_LogNumber = 0;
  std::uint64_t m_LogBytes = 0;
  std::uint64_t m_SyncCount = 0;
  // Records taken in but not written: they become one record of the file, so
  // that a torn write never spans two.
  std::unique_ptr<schema::LogBatch> m_Batch;
  std::optional<StorageError> m_Error;
};

} // namespace mangocart

#endif
