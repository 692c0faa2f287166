#include "Entry/RouteMatch.h"

namespace mangocart {

std::optional<RouteMatch> findRoute(const ConfigurationIndex &Index,
                                    std::string_view Target) {
  const RoutePlace *Place = Index.findRoute(Target);
  if (Place == nullptr)
    return std::nullopt;
  return RouteMatch{Index.configuration(), Place->m_Service, Place->m_Route};
}

} // namespace mangocart
