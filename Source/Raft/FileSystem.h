// The file operations of a data folder, behind an interface so that tests can
// tear writes, fail syncs, fill the disk and lose files.
#ifndef MANGOCART_RAFT_FILESYSTEM_H
#define MANGOCART_RAFT_FILESYSTEM_H

#include "Core/Result.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mangocart {

struct FileError {
  // "append", "sync" and so on.
  std::string m_Operation;
  std::string m_Path;
  // The system's text.
  std::string m_Detail;

  bool operator==(const FileError &) const = default;
};

class FileSystem {
public:
  virtual ~FileSystem() = default;

  // Makes the folder unless it exists; its parent must exist.
  virtual Result<void, FileError> makeFolder(const std::string &Folder) = 0;
  // Keeps other processes out of the folder for as long as this object lives.
  virtual Result<void, FileError> lockFolder(const std::string &Folder) = 0;
  // Names of the files in the folder, in no order.
  virtual Result<std::vector<std::string>, FileError>
  list(const std::string &Folder) = 0;
  virtual Result<std::string, FileError> read(const std::string &Path) = 0;
  // Adds to the end; makes the file if there is none.
  virtual Result<void, FileError> append(const std::string &Path,
                                         std::string_view Bytes) = 0;
  virtual Result<void, FileError> truncate(const std::string &Path,
                                           std::uint64_t Size) = 0;
  virtual Result<void, FileError> rename(const std::string &From,
                                         const std::string &To) = 0;
  virtual Result<void, FileError> remove(const std::string &Path) = 0;
  // Returns when the bytes of the file are on the disk.
  virtual Result<void, FileError> syncFile(const std::string &Path) = 0;
  // Returns when the names in the folder are on the disk.
  virtual Result<void, FileError> syncFolder(const std::string &Folder) = 0;
};

std::unique_ptr<FileSystem> makePosixFileSystem();

} // namespace mangocart

#endif
