// Messages for the operator.
#include "Raft/StorageError.h"

#include <fmt/format.h>

namespace mangocart {

namespace {

constexpr std::string_view Remedy =
    "move the data folder away and start again: the machine then rejoins as a "
    "learner and gets its vote back once it has caught up; do so for one "
    "machine at a time";

} // namespace

StorageError fromFileError(const FileError &Error) {
  const bool Locked = Error.m_Operation == "lock";
  StorageError Out;
  Out.m_Code = Locked ? StorageErrorCode::Locked : StorageErrorCode::Failed;
  Out.m_File = Error.m_Path;
  Out.m_Message = fmt::format(
      "{}: {} failed: {}; {}", Error.m_Path, Error.m_Operation, Error.m_Detail,
      Locked ? "stop the other process that uses the folder"
             : "the process ends; free or repair the disk, then "
               "start it again");
  return Out;
}

StorageError corruptionError(std::string File, std::uint64_t Offset,
                             std::string_view Reason) {
  StorageError Out;
  Out.m_Code = StorageErrorCode::Corrupt;
  Out.m_Message =
      fmt::format("{} at offset {}: {}; {}", File, Offset, Reason, Remedy);
  Out.m_File = std::move(File);
  Out.m_Offset = Offset;
  return Out;
}

} // namespace mangocart
