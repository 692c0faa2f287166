// Which backend servers of services with a cold rate are cold, for events,
// metrics and the time of the next permitted request.
#ifndef MANGOCART_ENTRY_COLDREPORT_H
#define MANGOCART_ENTRY_COLDREPORT_H

#include "Membership/MembershipTable.h"
#include "Routing/ColdAllowance.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mangocart {

struct ColdChange {
  std::string m_BackendServer;
  bool m_IsCold = false;
  // Permits of this gateway at the server, of those of all gateways.
  std::size_t m_OwnPermits = 0;
  std::size_t m_AllPermits = 0;

  bool operator==(const ColdChange &) const = default;
};

// The changes since the last call. Reported: the servers reported as cold.
std::vector<ColdChange> coldChanges(const MembershipTable &Table,
                                    const ColdAllowance &Cold,
                                    std::set<std::string> &Reported,
                                    TimePoint Now);

// When this gateway may next send a request to a cold server whose permits it
// has used up; no value if there is none.
std::optional<TimePoint> nextColdPermit(const MembershipTable &Table,
                                        const ColdAllowance &Cold,
                                        TimePoint Now);

} // namespace mangocart

#endif
