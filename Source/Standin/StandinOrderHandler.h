// Handles orders sent to the simulated backend server. Each executed order is
// logged as one JSON object per line:
// {"order","kind","fencing_number","serial"}. Fencing is verified against this
// log, so a record is written and flushed before the response is sent.
#ifndef MANGOCART_STANDIN_STANDINORDERHANDLER_H
#define MANGOCART_STANDIN_STANDINORDERHANDLER_H

#include "Http/HttpMessage.h"

#include <cstdint>
#include <fstream>
#include <string>

namespace mangocart {

class StandinOrderHandler {
public:
  // An empty path disables the log. The highest fencing number and the serial
  // numbers continue after those in the file.
  StandinOrderHandler(const std::string &Path, bool ChecksFencing);

  bool isOpen() const { return m_Path.empty() || m_File.is_open(); }
  // Executes the order, unless fencing is checked and its fencing number is
  // lower than the highest one.
  HttpResponse handle(const HttpRequest &Request);

private:
  void readRecordedOrders();
  bool append(const HttpRequest &Request, std::uint64_t Number);

  const std::string m_Path;
  const bool m_ChecksFencing;
  std::ofstream m_File;
  // Highest fencing number of an executed order.
  std::uint64_t m_HighestFencingNumber = 0;
  std::uint64_t m_LastSerial = 0;
};

} // namespace mangocart

#endif
