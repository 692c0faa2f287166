// Longest-prefix match over the configuration's routes.
#include "Entry/RouteTable.h"

namespace mangocart {

namespace {

bool prefixMatches(std::string_view Prefix, std::string_view Target) {
  if (!Target.starts_with(Prefix))
    return false;
  if (Target.size() == Prefix.size() || Prefix.ends_with('/'))
    return true;
  const char Next = Target[Prefix.size()];
  return Next == '/' || Next == '?';
}

} // namespace

std::optional<RouteMatch> findRoute(const ConfigurationPtr &Configuration,
                                    std::string_view Target) {
  RouteMatch Best;
  for (const schema::Service &Service : Configuration->services()) {
    for (const schema::Route &Route : Service.routes()) {
      if (!prefixMatches(Route.path(), Target))
        continue;
      if (Best.m_Route && Best.m_Route->path().size() >= Route.path().size())
        continue;
      Best.m_Service = &Service;
      Best.m_Route = &Route;
    }
  }
  if (!Best.m_Route)
    return std::nullopt;
  Best.m_Configuration = Configuration;
  return Best;
}

const schema::Customer *findCustomer(const schema::Configuration &Configuration,
                                     std::string_view Name) {
  for (const schema::Customer &Customer : Configuration.customers())
    if (Customer.name() == Name)
      return &Customer;
  return nullptr;
}

} // namespace mangocart
