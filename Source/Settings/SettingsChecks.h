// Checks across the fields of one process's settings: addresses that contradict
// each other, this process's place among the entry VMs, the voters.
#ifndef MANGOCART_SETTINGS_SETTINGSCHECKS_H
#define MANGOCART_SETTINGS_SETTINGSCHECKS_H

#include "Settings/SettingsError.h"

namespace mangocart {

namespace schema {
class AgentSettings;
class EntrySettings;
class GatewaySettings;
class VoterSettings;
} // namespace schema

SettingsErrors checkEntrySettings(const schema::EntrySettings &Settings,
                                  const KeyLines &Lines);
SettingsErrors checkAgentSettings(const schema::AgentSettings &Settings,
                                  const KeyLines &Lines);
SettingsErrors checkGatewaySettings(const schema::GatewaySettings &Settings,
                                    const KeyLines &Lines);
SettingsErrors checkVoterSettings(const schema::VoterSettings &Settings,
                                  const KeyLines &Lines);

} // namespace mangocart

#endif
