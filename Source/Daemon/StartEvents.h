// Events about what a daemon finds wrong at its start and goes on in spite of.
#ifndef MANGOCART_DAEMON_STARTEVENTS_H
#define MANGOCART_DAEMON_STARTEVENTS_H

#include "Settings/SettingsError.h"

#include <string>

namespace mangocart {

class EventLog;

// One event for each warning of the settings reader.
void noteDeprecated(EventLog &Events, const SettingsWarnings &Warnings);

// The token of an administration port. Empty when no file is named, and, with
// an event, when the file can't be used or others than its owner may read it;
// an empty token lets no call through that changes state.
std::string adminToken(EventLog &Events, const std::string &File);

} // namespace mangocart

#endif
