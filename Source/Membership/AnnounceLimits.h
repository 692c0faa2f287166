// Heartbeat timeouts for backend servers that announce themselves at a fixed
// interval.
#ifndef MANGOCART_MEMBERSHIP_ANNOUNCELIMITS_H
#define MANGOCART_MEMBERSHIP_ANNOUNCELIMITS_H

#include "Membership/MembershipTable.h"

namespace mangocart {

MembershipLimits announceLimits(Duration Interval);

} // namespace mangocart

#endif
