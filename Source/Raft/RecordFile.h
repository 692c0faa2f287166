// Format of records in a file: length and CRC-32 of the payload, each as four
// bytes in little-endian order, then the payload, which is never empty.
#ifndef MANGOCART_RAFT_RECORDFILE_H
#define MANGOCART_RAFT_RECORDFILE_H

#include "Raft/FileSystem.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangocart {

std::string encodeRecord(std::string_view Payload);
// The header that precedes the payload, which may be given in several parts.
std::string encodeRecordHeader(const std::vector<std::string_view> &Parts);

// Creates the file with one record, whose payload is given in several parts,
// and syncs it; replaces a file left by an earlier attempt.
Result<void, FileError>
writeRecordFile(FileSystem &Files, const std::string &Path,
                const std::vector<std::string_view> &Parts);

struct RecordScan {
  std::vector<std::string_view> m_Payloads;
  // End offset of the last complete record.
  std::uint64_t m_End = 0;
  // There are further bytes after m_End.
  bool m_Torn = false;
  // A valid record follows the torn bytes, which a torn write cannot cause.
  bool m_Corrupt = false;
};

// The returned payloads refer to Bytes.
RecordScan scanRecords(std::string_view Bytes);

} // namespace mangocart

#endif
