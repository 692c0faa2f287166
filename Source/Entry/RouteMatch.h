// The service and route of a request, together with the configuration that
// contains them.
#ifndef MANGOCART_ENTRY_ROUTEMATCH_H
#define MANGOCART_ENTRY_ROUTEMATCH_H

#include "Configuration/ConfigurationIndex.h"

#include <optional>
#include <string_view>

namespace mangocart {

struct RouteMatch {
  // m_Service and m_Route point into m_Configuration.
  ConfigurationPtr m_Configuration;
  const schema::Service *m_Service = nullptr;
  const schema::Route *m_Route = nullptr;
};

std::optional<RouteMatch> findRoute(const ConfigurationIndex &Index,
                                    std::string_view Target);

} // namespace mangocart

#endif
