// Hash maps of customer names and route paths; of duplicates the first one is
// used.
#include "Configuration/ConfigurationIndex.h"

#include <algorithm>

namespace mangocart {

namespace {

// Whether a prefix of that length ends at the end of a path segment of the
// target.
bool isSegmentEnd(std::string_view Target, std::size_t Length) {
  if (Length == Target.size() || (Length > 0 && Target[Length - 1] == '/'))
    return true;
  const char Next = Target[Length];
  return Next == '/' || Next == '?';
}

} // namespace

ConfigurationIndex::ConfigurationIndex(ConfigurationPtr Configuration)
    : m_Configuration(std::move(Configuration)) {
  m_Customers.reserve(
      static_cast<std::size_t>(m_Configuration->customers_size()));
  for (const schema::Customer &Customer : m_Configuration->customers())
    m_Customers.emplace(Customer.name(), &Customer);
  for (const schema::Service &Service : m_Configuration->services())
    for (const schema::Route &Route : Service.routes()) {
      m_Routes.emplace(Route.path(), ServiceRoute{&Service, &Route});
      m_LongestPath = std::max(m_LongestPath, Route.path().size());
    }
}

const schema::Customer *
ConfigurationIndex::findCustomer(std::string_view Name) const {
  const auto Found = m_Customers.find(Name);
  return Found == m_Customers.end() ? nullptr : Found->second;
}

const ServiceRoute *
ConfigurationIndex::findRoute(std::string_view Target) const {
  const std::size_t Longest = std::min(Target.size(), m_LongestPath);
  for (std::size_t Left = Longest + 1; Left > 0; --Left) {
    const std::size_t Length = Left - 1;
    if (!isSegmentEnd(Target, Length))
      continue;
    const auto Found = m_Routes.find(Target.substr(0, Length));
    if (Found != m_Routes.end())
      return &Found->second;
  }
  return nullptr;
}

} // namespace mangocart
