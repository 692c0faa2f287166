// Reads the settings of a daemon and reports what is wrong with them.
#ifndef MANGOCART_DAEMON_SETTINGSOREXIT_H
#define MANGOCART_DAEMON_SETTINGSOREXIT_H

#include "Core/Result.h"
#include "Settings/SettingsError.h"

#include <iostream>
#include <optional>
#include <string>

namespace mangocart {

template <class Settings> struct SettingsFound {
  Settings m_Settings;
  SettingsWarnings m_Warnings;
};

// Warnings are printed and returned. Absent after all errors were printed;
// nothing should be started then.
template <class Settings>
std::optional<SettingsFound<Settings>>
settingsOrReport(Result<Settings, SettingsErrors> (*Read)(const std::string &,
                                                          SettingsWarnings &),
                 const std::string &File) {
  SettingsWarnings Warnings;
  Result<Settings, SettingsErrors> Found = Read(File, Warnings);
  for (const SettingsWarning &Warning : Warnings)
    std::cerr << toString(Warning) << '\n';
  if (Found)
    return SettingsFound<Settings>{std::move(Found).value(),
                                   std::move(Warnings)};
  std::cerr << toString(Found.error());
  return std::nullopt;
}

} // namespace mangocart

#endif
