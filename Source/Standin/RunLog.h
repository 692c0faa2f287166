// Record of every run of a booking, one JSON object a line:
// {"key","customer","digest","serial"}. It is the judge of at-most-once, so a
// run is written and flushed before it is answered.
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
  // An empty path keeps no record. Serial numbers go on after those in the
  // file.
  explicit RunLog(const std::string &Path);

  bool isOpen() const { return m_Path.empty() || m_File.is_open(); }
  // Numbers the run and records it; false when it could not be written.
  bool append(RunRecord &Record);

private:
  std::string m_Path;
  std::ofstream m_File;
  std::uint64_t m_LastSerial = 0;
};

} // namespace mangocart

#endif
