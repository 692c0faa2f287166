// A configuration with an index of its customers and routes; built once for
// each new configuration and read by every request.
#ifndef MANGOCART_CONFIGURATION_CONFIGURATIONINDEX_H
#define MANGOCART_CONFIGURATION_CONFIGURATIONINDEX_H

#include "Configuration.pb.h"

#include <cstddef>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace mangocart {

using ConfigurationPtr = std::shared_ptr<const schema::Configuration>;

// Points into the configuration of the index.
struct ServiceRoute {
  const schema::Service *m_Service = nullptr;
  const schema::Route *m_Route = nullptr;
};

// Immutable, so it can be read from any thread.
class ConfigurationIndex {
public:
  explicit ConfigurationIndex(ConfigurationPtr Configuration);

  const ConfigurationPtr &configuration() const { return m_Configuration; }

  // Returns null if the configuration has no such customer.
  const schema::Customer *findCustomer(std::string_view Name) const;

  // Returns the service and route whose path is the longest matching prefix of
  // the target, or null if none matches. A prefix matches whole path segments:
  // "/bookings" matches "/bookings/7" and "/bookings?day=3", not
  // "/bookingsale".
  const ServiceRoute *findRoute(std::string_view Target) const;

private:
  // The keys and pointers below point into it.
  const ConfigurationPtr m_Configuration;
  std::unordered_map<std::string_view, const schema::Customer *> m_Customers;
  std::unordered_map<std::string_view, ServiceRoute> m_Routes;
  // Limits the number of prefixes that a lookup tries for a long target.
  std::size_t m_LongestPath = 0;
};

using ConfigurationIndexPtr = std::shared_ptr<const ConfigurationIndex>;

} // namespace mangocart

#endif
