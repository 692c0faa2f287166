// Orders by HTTP and their record.
#include "Standin/StandinOrders.h"

#include "Standin/StandinShared.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace mangocart {

namespace {

namespace json = boost::json;

constexpr const char *NumberHeader = "Mangocart-Fencing-Number";

std::uint64_t numberOf(const HttpRequest &Request) {
  const std::string Text = headerText(Request, NumberHeader);
  std::uint64_t Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

} // namespace

StandinOrders::StandinOrders(const std::string &Path, bool ChecksNumbers)
    : m_Path(Path), m_ChecksNumbers(ChecksNumbers) {
  if (Path.empty())
    return;
  readEarlier();
  m_File.open(Path, std::ios::app);
}

void StandinOrders::readEarlier() {
  std::ifstream Before(m_Path);
  for (std::string Line; std::getline(Before, Line);) {
    ++m_LastSerial;
    json::error_code Failed;
    const json::value Parsed = json::parse(Line, Failed);
    if (Failed || !Parsed.is_object())
      continue;
    if (const json::value *Number =
            Parsed.as_object().if_contains("fencing_number"))
      m_NumberInForce =
          std::max(m_NumberInForce, Number->to_number<std::uint64_t>());
  }
}

HttpResponse StandinOrders::take(const HttpRequest &Request) {
  const std::uint64_t Number = numberOf(Request);
  if (Number == 0)
    return errorResponse(400, "expected a number in Mangocart-Fencing-Number");
  if (m_ChecksNumbers && Number < m_NumberInForce) {
    HttpResponse Refusal = errorResponse(409, "the number is old");
    Refusal.m_Head.m_Headers.push_back(
        {NumberHeader, std::to_string(m_NumberInForce)});
    return Refusal;
  }
  if (!append(Request, Number))
    return errorResponse(500, "the order could not be recorded");
  m_NumberInForce = std::max(m_NumberInForce, Number);
  return jsonResponse(200,
                      json::serialize(json::object{{"serial", m_LastSerial}}));
}

bool StandinOrders::append(const HttpRequest &Request, std::uint64_t Number) {
  ++m_LastSerial;
  if (m_Path.empty())
    return true;
  const json::object Line{{"order", headerText(Request, "Mangocart-Order")},
                          {"kind", headerText(Request, "Mangocart-Order-Kind")},
                          {"fencing_number", Number},
                          {"serial", m_LastSerial}};
  m_File << json::serialize(Line) + "\n" << std::flush;
  return m_File.good();
}

} // namespace mangocart
