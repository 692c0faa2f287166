// Conversions between the load of a gateway and its load reports: outstanding
// requests and pending prompt tokens of the backend servers.
#ifndef MANGOCART_GATEWAY_LOADMESSAGES_H
#define MANGOCART_GATEWAY_LOADMESSAGES_H

#include "Gateway/LoadDelta.h"
#include "Routing/PrefillSpread.h"

namespace mangocart {

namespace schema {
class LoadReport;
} // namespace schema

struct GatewayLoad {
  RequestsByServer m_Requests;
  // Of these requests; servers without any have no entry.
  PromptTokensByServer m_PendingPromptTokens;

  bool operator==(const GatewayLoad &) const = default;
};

// Adds the whole load.
void addLoad(schema::LoadReport &Report, const GatewayLoad &Load);

// Adds the servers whose load has changed, with both counts.
void addLoadChanges(schema::LoadReport &Report, const GatewayLoad &Before,
                    const GatewayLoad &After);

// Applies a report to the load known of its gateway. A report without pending
// prompt tokens comes from a gateway of an earlier version, of which none are
// known. Returns false, without a change, if the report's lists don't match.
bool applyLoad(GatewayLoad &Known, const schema::LoadReport &Report);

} // namespace mangocart

#endif
