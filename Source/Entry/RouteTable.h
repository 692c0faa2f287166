// Finds the service and route that answer a request, by the longest path
// prefix.
#ifndef MANGOCART_ENTRY_ROUTETABLE_H
#define MANGOCART_ENTRY_ROUTETABLE_H

#include "Configuration/ConfigurationHolder.h"

#include <optional>
#include <string_view>

namespace mangocart {

struct RouteMatch {
  // Both point into the configuration that m_Configuration keeps alive.
  ConfigurationPtr m_Configuration;
  const schema::Service *m_Service = nullptr;
  const schema::Route *m_Route = nullptr;
};

// A prefix matches whole path segments: "/bookings" matches "/bookings/7" and
// "/bookings?day=3", not "/bookingsale".
std::optional<RouteMatch> findRoute(const ConfigurationPtr &Configuration,
                                    std::string_view Target);

// Null when the configuration has no such customer.
const schema::Customer *findCustomer(const schema::Configuration &Configuration,
                                     std::string_view Name);

} // namespace mangocart

#endif
