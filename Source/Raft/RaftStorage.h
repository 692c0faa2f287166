// The files of a member in one data folder: identity, snapshot and log. See
// docs/RAFT.md for their format and for the handling of corruption.
#ifndef MANGOCART_RAFT_RAFTSTORAGE_H
#define MANGOCART_RAFT_RAFTSTORAGE_H

#include "Core/Random.h"
#include "Core/Result.h"
#include "Raft/RaftTypes.h"
#include "Raft/StorageError.h"

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

class RaftStorage {
public:
  // Reads the folder; creates it, with a new random storage id, if it does not
  // exist.
  static Result<std::unique_ptr<RaftStorage>, StorageError>
  open(FileSystem &Files, const std::string &Folder, Random &Generator);

  ~RaftStorage();
  RaftStorage(const RaftStorage &) = delete;
  RaftStorage &operator=(const RaftStorage &) = delete;

  const std::string &storageId() const { return m_StorageId; }
  // Content of the folder when it was opened.
  const RecoveredState &recovered() const { return m_Recovered; }

  // Buffers the records; sync() writes them.
  void append(const PersistLog &Records);
  // Returns when everything appended so far is durable. After an error every
  // later call returns that error.
  Result<void, StorageError> sync();
  // Replaces the snapshot and the log; both are durable on return.
  Result<void, StorageError> saveSnapshot(const SaveSnapshot &Save);
  // The same for a snapshot that prepareSnapshot() has written to the folder:
  // it is only renamed, and the log is replaced. If the preparation failed, its
  // error is returned.
  Result<void, StorageError>
  savePreparedSnapshot(const SaveSnapshot &Save,
                       const Result<void, StorageError> &Prepared);
  // Writes and syncs a snapshot while the current one stays in place. Called
  // from any thread, one call at a time, with a FileSystem that no other thread
  // uses.
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
  Result<void, StorageError> replayBatch(const schema::LogBatch &Batch);
  Result<void, StorageError> replaceStaleLog();
  Result<void, StorageError>
  writeAtomically(const std::string &Name,
                  const std::vector<std::string_view> &Parts);
  Result<void, StorageError> renameIntoPlace(const std::string &Temporary,
                                             const std::string &Name);

  Result<void, StorageError>
  saveWith(const SaveSnapshot &Save,
           const std::function<Result<void, StorageError>()> &WriteSnapshot);
  Result<void, StorageError> startLog(const EntryList &Entries);
  std::string path(const std::string &Name) const;

  FileSystem &m_Files;
  std::string m_Folder;
  std::string m_StorageId;
  RecoveredState m_Recovered;
  RaftHardState m_HardState;
  // Base index and term of the open log file: those of the snapshot, once the
  // folder is loaded.
  LogIndex m_BaseIndex = 0;
  Term m_BaseTerm = 0;
  // Each new log file gets the next number; only the highest one is valid.
  std::uint64_t m_LogNumber = 0;
  std::uint64_t m_LogBytes = 0;
  std::uint64_t m_SyncCount = 0;
  // Records that are buffered but not written. They are written as one record
  // of the file, so that a torn write never affects two.
  std::unique_ptr<schema::LogBatch> m_Batch;
  std::optional<StorageError> m_Error;
};

} // namespace mangocart

#endif
