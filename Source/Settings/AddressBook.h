// Finds two keys that claim the same IP number and port.
#ifndef MANGOCART_SETTINGS_ADDRESSBOOK_H
#define MANGOCART_SETTINGS_ADDRESSBOOK_H

#include "Settings/SettingsError.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace mangocart {

class AddressBook {
public:
  explicit AddressBook(const KeyLines &Lines) : m_Lines(Lines) {}

  // Notes that the key claims the address; an error when another key has it.
  void claim(const std::string &Key, const std::string &Address,
             std::uint32_t Port, SettingsErrors &Errors);

private:
  const KeyLines &m_Lines;
  // Address and port to the key that claimed them first.
  std::map<std::pair<std::string, std::uint32_t>, std::string> m_Claims;
};

} // namespace mangocart

#endif
