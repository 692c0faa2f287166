// Encoding and validation of records.
#include "Raft/RecordFile.h"

#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>

namespace mangocart {

namespace {

constexpr std::size_t WordBytes = 4;
constexpr std::size_t HeaderBytes = 2 * WordBytes;

std::uint32_t crcOf(std::string_view Bytes) {
  boost::crc_32_type Crc;
  Crc.process_bytes(Bytes.data(), Bytes.size());
  return Crc.checksum();
}

void appendWord(std::string &Out, std::uint32_t Word) {
  unsigned char Bytes[WordBytes];
  boost::endian::store_little_u32(Bytes, Word);
  Out.append(reinterpret_cast<const char *>(Bytes), WordBytes);
}

std::uint32_t wordAt(std::string_view Bytes, std::size_t Offset) {
  return boost::endian::load_little_u32(
      reinterpret_cast<const unsigned char *>(Bytes.data() + Offset));
}

// The payload of the record at the offset, if the record is complete and valid.
std::optional<std::string_view> recordAt(std::string_view Bytes,
                                         std::size_t Offset) {
  if (Bytes.size() - Offset < HeaderBytes)
    return std::nullopt;
  const std::size_t Length = wordAt(Bytes, Offset);
  if (Length == 0 || Length > Bytes.size() - Offset - HeaderBytes)
    return std::nullopt;
  const std::string_view Payload = Bytes.substr(Offset + HeaderBytes, Length);
  if (crcOf(Payload) != wordAt(Bytes, Offset + WordBytes))
    return std::nullopt;
  return Payload;
}

bool hasRecordAfter(std::string_view Bytes, std::size_t Offset) {
  for (std::size_t I = Offset + 1; I + HeaderBytes < Bytes.size(); ++I)
    if (recordAt(Bytes, I))
      return true;
  return false;
}

} // namespace

std::string encodeRecord(std::string_view Payload) {
  std::string Out = encodeRecordHeader({Payload});
  Out += Payload;
  return Out;
}

std::string encodeRecordHeader(const std::vector<std::string_view> &Parts) {
  std::size_t Size = 0;
  boost::crc_32_type Crc;
  for (const std::string_view Part : Parts) {
    Size += Part.size();
    Crc.process_bytes(Part.data(), Part.size());
  }
  std::string Out;
  appendWord(Out, static_cast<std::uint32_t>(Size));
  appendWord(Out, Crc.checksum());
  return Out;
}

Result<void, FileError>
writeRecordFile(FileSystem &Files, const std::string &Path,
                const std::vector<std::string_view> &Parts) {
  (void)Files.remove(Path);
  BOOST_OUTCOME_TRYV(Files.append(Path, encodeRecordHeader(Parts)));
  for (const std::string_view Part : Parts) {
    BOOST_OUTCOME_TRYV(Files.append(Path, Part));
  }
  return Files.syncFile(Path);
}

RecordScan scanRecords(std::string_view Bytes) {
  RecordScan Scan;
  while (const auto Payload = recordAt(Bytes, Scan.m_End)) {
    Scan.m_Payloads.push_back(*Payload);
    Scan.m_End += HeaderBytes + Payload->size();
  }
  Scan.m_Torn = Scan.m_End < Bytes.size();
  Scan.m_Corrupt = Scan.m_Torn && hasRecordAfter(Bytes, Scan.m_End);
  return Scan;
}

} // namespace mangocart
