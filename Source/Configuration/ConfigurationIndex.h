// A configuration with its customers and routes indexed: made once for each
// configuration in force, read by every request.
#ifndef MANGOCART_CONFIGURATION_CONFIGURATIONINDEX_H
#define MANGOCART_CONFIGURATION_CONFIGURATIONINDEX_H

#include "Configuration.pb.h"

#include <cstddef>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace mangocart {

using ConfigurationPtr = std::shared_ptr<const schema::Configuration>;

// Points into the configuration.
struct RoutePlace {
  const schema::Service *m_Service = nullptr;
  const schema::Route *m_Route = nullptr;
};

// Never changes, so any thread may read it.
class ConfigurationIndex {
public:
  explicit ConfigurationIndex(ConfigurationPtr Configuration);

  const ConfigurationPtr &configuration() const { return m_Configuration; }

  // Null when the configuration has no such customer.
  const schema::Customer *findCustomer(std::string_view Name) const;

  // Service and route with the longest path prefix of the target. A prefix
  // matches whole path segments: "/bookings" matches "/bookings/7" and
  // "/bookings?day=3", not "/bookingsale". Null when
  // none matches.
  const RoutePlace *findRoute(std::string_view Target) const;

private:
  // All keys and pointers below point into it.
  const ConfigurationPtr m_Configuration;
  std::unordered_map<std::string_view, const schema::Customer *> m_Customers;
  std::unordered_map<std::string_view, RoutePlace> m_Routes;
  // Bounds the prefixes that a look-up tries, however long the target is.
  std::size_t m_LongestPath = 0;
};

using ConfigurationIndexPtr = std::shared_ptr<const ConfigurationIndex>;

} // namespace mangocart

#endif
