// Limits of silence for backend servers that announce themselves regularly.
#ifndef MANGOCART_MEMBERSHIP_ANNOUNCELIMITS_H
#define MANGOCART_MEMBERSHIP_ANNOUNCELIMITS_H

#include "Membership/MembershipTable.h"

namespace mangocart {

MembershipLimits announceLimits(Duration Interval);

} // namespace mangocart

#endif
