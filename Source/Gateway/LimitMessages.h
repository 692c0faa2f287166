// Conversions between the limits that servers name and the messages of
// gateways. Times are sent as ages, since the clocks of machines differ.
#ifndef MANGOCART_GATEWAY_LIMITMESSAGES_H
#define MANGOCART_GATEWAY_LIMITMESSAGES_H

#include "Routing/ServerNotices.h"

#include <map>
#include <string>

namespace mangocart {

namespace schema {
class LoadReport;
class ServerLimit;
} // namespace schema

// Adds limits by server name.
void addLimits(schema::LoadReport &Report,
               const std::map<std::string, LimitSighting> &Limits,
               TimePoint Now);

// A limit that is no number, or less than 0, is read as none.
LimitSighting limitFromSchema(const schema::ServerLimit &Message,
                              TimePoint Now);

} // namespace mangocart

#endif
