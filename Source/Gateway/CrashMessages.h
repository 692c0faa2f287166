// Conversions between the evidence about crashes and the messages of gateways.
// Times are sent as ages, since the clocks of machines differ.
#ifndef MANGOCART_GATEWAY_CRASHMESSAGES_H
#define MANGOCART_GATEWAY_CRASHMESSAGES_H

#include "Routing/CrashEvidence.h"

#include <optional>

namespace mangocart {

namespace schema {
class LoadReport;
class Acquittal;
class ServerCrash;
} // namespace schema

// Adds what the reporter saw of the crash; nothing if it saw none.
void addCrash(schema::LoadReport &Report, const ServerRun &Run,
              const ServerCrash &Crash, const std::string &Reporter,
              TimePoint Now);
void addAcquittal(schema::LoadReport &Report, const Suspect &Of, TimePoint At,
                  TimePoint Now);

// No value for a kind of suspect that this gateway doesn't know.
std::optional<Suspect> suspectFromSchema(const schema::Acquittal &Message);

// Values out of range are brought into it, suspects of unknown kinds left out.
ServerCrash crashFromSchema(const schema::ServerCrash &Message, TimePoint Now);

} // namespace mangocart

#endif
