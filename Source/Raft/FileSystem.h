// File operations on a data folder, behind an interface so that tests can
// simulate torn writes, failing syncs, a full disk and lost files.
#ifndef MANGOCART_RAFT_FILESYSTEM_H
#define MANGOCART_RAFT_FILESYSTEM_H

#include "Core/Result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mangocart {

struct FileError {
  // Name of the failed operation, such as "append" or "sync".
  std::string m_Operation;
  std::string m_Path;
  // Error text of the operating system.
  std::string m_Detail;

  bool operator==(const FileError &) const = default;
};

class FileSystem {
public:
  virtual ~FileSystem() = default;

  // Creates the folder unless it exists; its parent must exist.
  virtual Result<void, FileError> makeFolder(const std::string &Folder) = 0;
  // Locks the folder against other processes for the lifetime of this object.
  virtual Result<void, FileError> lockFolder(const std::string &Folder) = 0;
  // Names of the files in the folder, in no particular order.
  virtual Result<std::vector<std::string>, FileError>
  list(const std::string &Folder) = 0;
  virtual Result<std::string, FileError> read(const std::string &Path) = 0;
  // Appends to the file; creates it if it does not exist.
  virtual Result<void, FileError> append(const std::string &Path,
                                         std::string_view Bytes) = 0;
  virtual Result<void, FileError> truncate(const std::string &Path,
                                           std::uint64_t Size) = 0;
  virtual Result<void, FileError> rename(const std::string &From,
                                         const std::string &To) = 0;
  virtual Result<void, FileError> remove(const std::string &Path) = 0;
  // Returns when the file's content is durable.
  virtual Result<void, FileError> syncFile(const std::string &Path) = 0;
  // Returns when the folder's directory entries are durable.
  virtual Result<void, FileError> syncFolder(const std::string &Folder) = 0;
};

// Called while a disk has no space for a write: waits and returns whether to
// try again.
using DiskFullHandler = std::function<bool()>;

// Without a handler a write to a full disk fails at once.
std::unique_ptr<FileSystem>
makePosixFileSystem(DiskFullHandler OnDiskFull = {});

} // namespace mangocart

#endif
