// Deprecated settings and unusable token files, as numbered events.
#include "Daemon/StartEvents.h"

#include "Events/EventLog.h"
#include "Http/BearerToken.h"

namespace mangocart {

void noteDeprecated(EventLog &Events, const SettingsWarnings &Warnings) {
  for (const SettingsWarning &Warning : Warnings)
    Events.write(Event::SettingDeprecated, {{"file", Warning.m_File},
                                            {"line", Warning.m_Line},
                                            {"key", Warning.m_Key},
                                            {"detail", Warning.m_Text}});
}

std::string adminToken(EventLog &Events, const std::string &File) {
  if (File.empty())
    return {};
  const auto Read = readTokenFile(File);
  // A token that others may have read proves nothing about the caller.
  const std::string Fault =
      Read ? Read.value().m_Warning : toString(Read.error());
  if (Fault.empty())
    return Read.value().m_Token;
  Events.write(Event::TokenFileUnusable, {{"file", File}, {"detail", Fault}});
  return {};
}

} // namespace mangocart
