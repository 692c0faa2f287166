// Records in a file: length and CRC-32 of the payload, four bytes each with the
// lowest first, then the payload, which is never empty.
#ifndef MANGOCART_RAFT_RECORDFILE_H
#define MANGOCART_RAFT_RECORDFILE_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangocart {

std::string encodeRecord(std::string_view Payload);
// What stands before the payload, which may come in pieces.
std::string encodeRecordHead(const std::vector<std::string_view> &Pieces);

struct RecordScan {
  std::vector<std::string_view> m_Payloads;
  // Where the last whole record ends.
  std::uint64_t m_End = 0;
  // There are bytes after m_End.
  bool m_Torn = false;
  // A whole record follows the torn bytes: a torn write can't explain that.
  bool m_Damaged = false;
};

// The payloads point into the bytes.
RecordScan scanRecords(std::string_view Bytes);

} // namespace mangocart

#endif
