// Log of all executed bookings, one JSON object per line:
// {"key","customer","digest","serial"}. At-most-once execution is verified
// against this log, so a record is written and flushed before the response is
// sent.
#ifndef MANGOCART_STANDIN_RUNLOG_H
#define MANGOCART_STANDIN_RUNLOG_H

#include <cstdint>
#include <fstream>
#include <string>

namespace mangocart {

struct RunRecord {
  std::string m_Key;
  std::string m_Customer;
  std::string m_Digest;
  std::uint64_t m_Serial = 0;

  bool operator==(const RunRecord &) const = default;
};

class RunLog {
public:
  // An empty path disables the log. Serial numbers continue after those in the
  // file.
  explicit RunLog(const std::string &Path);

  bool isOpen() const { return m_Path.empty() || m_File.is_open(); }
  // Assigns a serial number and appends the record; returns false if the write
  // fails.
  bool append(RunRecord &Record);

private:
  std::string m_Path;
  std::ofstream m_File;
  std::uint64_t m_LastSerial = 0;
};

} // namespace mangocart

#endif
