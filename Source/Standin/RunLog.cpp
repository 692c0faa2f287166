// Appends booking records to the log file.
#include "Standin/RunLog.h"

#include <boost/json.hpp>

namespace mangocart {

RunLog::RunLog(const std::string &Path) : m_Path(Path) {
  if (Path.empty())
    return;
  std::ifstream Existing(Path);
  for (std::string Line; std::getline(Existing, Line);)
    ++m_LastSerial;
  m_File.open(Path, std::ios::app);
}

bool RunLog::append(RunRecord &Record) {
  Record.m_Serial = ++m_LastSerial;
  if (m_Path.empty())
    return true;
  const boost::json::object Line{{"key", Record.m_Key},
                                 {"customer", Record.m_Customer},
                                 {"digest", Record.m_Digest},
                                 {"serial", Record.m_Serial}};
  m_File << boost::json::serialize(Line) + "\n" << std::flush;
  return m_File.good();
}

} // namespace mangocart
