// Handles orders received over HTTP and writes the order log.
#include "Standin/StandinOrderHandler.h"

#include "Standin/StandinContext.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace mangocart {

namespace {

namespace json = boost::json;

constexpr const char *NumberHeader = "Mangocart-Fencing-Number";

std::uint64_t fencingNumber(const HttpRequest &Request) {
  const std::string Text = headerOrEmpty(Request, NumberHeader);
  std::uint64_t Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

} // namespace

StandinOrderHandler::StandinOrderHandler(const std::string &Path,
                                         bool ChecksFencing)
    : m_Path(Path), m_ChecksFencing(ChecksFencing) {
  if (Path.empty())
    return;
  readRecordedOrders();
  m_File.open(Path, std::ios::app);
}

void StandinOrderHandler::readRecordedOrders() {
  std::ifstream Existing(m_Path);
  for (std::string Line; std::getline(Existing, Line);) {
    ++m_LastSerial;
    json::error_code Failed;
    const json::value Parsed = json::parse(Line, Failed);
    if (Failed || !Parsed.is_object())
      continue;
    if (const json::value *Number =
            Parsed.as_object().if_contains("fencing_number"))
      m_HighestFencingNumber =
          std::max(m_HighestFencingNumber, Number->to_number<std::uint64_t>());
  }
}

HttpResponse StandinOrderHandler::handle(const HttpRequest &Request) {
  const std::uint64_t Number = fencingNumber(Request);
  if (Number == 0)
    return errorResponse(400, "expected a number in Mangocart-Fencing-Number");
  if (m_ChecksFencing && Number < m_HighestFencingNumber) {
    HttpResponse Rejection = errorResponse(409, "the number is old");
    Rejection.m_Head.m_Headers.push_back(
        {NumberHeader, std::to_string(m_HighestFencingNumber)});
    return Rejection;
  }
  if (!append(Request, Number))
    return errorResponse(500, "the order could not be recorded");
  m_HighestFencingNumber = std::max(m_HighestFencingNumber, Number);
  return jsonResponse(200,
                      json::serialize(json::object{{"serial", m_LastSerial}}));
}

bool StandinOrderHandler::append(const HttpRequest &Request,
                                 std::uint64_t Number) {
  ++m_LastSerial;
  if (m_Path.empty())
    return true;
  const json::object Line{
      {"order", headerOrEmpty(Request, "Mangocart-Order")},
      {"kind", headerOrEmpty(Request, "Mangocart-Order-Kind")},
      {"fencing_number", Number},
      {"serial", m_LastSerial}};
  m_File << json::serialize(Line) + "\n" << std::flush;
  return m_File.good();
}

} // namespace mangocart
