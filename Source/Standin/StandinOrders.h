// Orders that the stand-in is given. Each one that is carried out is recorded
// as one JSON object a line: {"order","kind","fencing_number","serial"}. The
// record is the judge of fencing, so it is written and flushed before the
// answer.
#ifndef MANGOCART_STANDIN_STANDINORDERS_H
#define MANGOCART_STANDIN_STANDINORDERS_H

#include "Http/HttpMessage.h"

#include <cstdint>
#include <fstream>
#include <string>

namespace mangocart {

class StandinOrders {
public:
  // An empty path keeps no record. The number in force and the serial numbers
  // go on after those in the file.
  StandinOrders(const std::string &Path, bool ChecksNumbers);

  bool isOpen() const { return m_Path.empty() || m_File.is_open(); }
  // Carries the order out unless its number is old and numbers are checked.
  HttpResponse take(const HttpRequest &Request);

private:
  void readEarlier();
  bool append(const HttpRequest &Request, std::uint64_t Number);

  const std::string m_Path;
  const bool m_ChecksNumbers;
  std::ofstream m_File;
  // Highest number carried out.
  std::uint64_t m_NumberInForce = 0;
  std::uint64_t m_LastSerial = 0;
};

} // namespace mangocart

#endif
