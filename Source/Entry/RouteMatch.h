// The service and route that answer a request, together with the configuration
// that they stand in.
#ifndef MANGOCART_ENTRY_ROUTEMATCH_H
#define MANGOCART_ENTRY_ROUTEMATCH_H

#include "Configuration/ConfigurationIndex.h"

#include <optional>
#include <string_view>

namespace mangocart {

struct RouteMatch {
  // Both point into the configuration that m_Configuration keeps alive.
  ConfigurationPtr m_Configuration;
  const schema::Service *m_Service = nullptr;
  const schema::Route *m_Route = nullptr;
};

std::optional<RouteMatch> findRoute(const ConfigurationIndex &Index,
                                    std::string_view Target);

} // namespace mangocart

#endif
