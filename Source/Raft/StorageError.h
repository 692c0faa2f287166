// Errors of the files in a data folder.
#ifndef MANGOCART_RAFT_STORAGEERROR_H
#define MANGOCART_RAFT_STORAGEERROR_H

#include "Core/Result.h"
#include "Raft/FileSystem.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace mangocart {

enum class StorageErrorCode {
  // A file operation failed. The content of the disk is unknown: the process
  // must exit, and no operation is retried.
  Failed,
  // A file is missing, or is corrupted in a way that a torn write cannot cause.
  Corrupt,
  // Another process has locked the folder.
  Locked
};

struct StorageError {
  StorageErrorCode m_Code = StorageErrorCode::Failed;
  std::string m_File;
  // Offset of the corruption; 0 for other errors.
  std::uint64_t m_Offset = 0;
  // Message for the operator, with file, offset and remedy.
  std::string m_Message;

  bool operator==(const StorageError &) const = default;
};

StorageError fromFileError(const FileError &Error);
StorageError corruptionError(std::string File, std::uint64_t Offset,
                             std::string_view Reason);

template <class T>
Result<T, StorageError> translate(Result<T, FileError> From) {
  if (From.has_error())
    return fromFileError(From.error());
  if constexpr (std::is_void_v<T>)
    return success();
  else
    return std::move(From).value();
}

} // namespace mangocart

#endif
