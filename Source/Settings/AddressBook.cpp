// Claims of addresses, the first one wins.
#include "Settings/AddressBook.h"

#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>

namespace mangocart {

void AddressBook::claim(const std::string &Key, const std::string &Address,
                        std::uint32_t Port, SettingsErrors &Errors) {
  // One spelling for each number, also for IPv6.
  const std::string Number = boost::asio::ip::make_address(Address).to_string();
  const auto [First, Fresh] = m_Claims.emplace(std::pair(Number, Port), Key);
  if (Fresh)
    return;
  Errors.push_back(
      errorAt(m_Lines, Key,
              fmt::format("{} port {}, which {} on line {} has already", Number,
                          Port, First->second, m_Lines.lineOf(First->second)),
              "an address and port of its own", "change one of them"));
}

} // namespace mangocart
