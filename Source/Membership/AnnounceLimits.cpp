// Heartbeat timeouts as multiples of the announcement interval.
#include "Membership/AnnounceLimits.h"

namespace mangocart {

namespace {

// Missed announcements after which a backend server is suspect or lost.
constexpr int SuspectAfterAnnouncements = 3;
constexpr int LostAfterAnnouncements = 6;

} // namespace

MembershipLimits announceLimits(Duration Interval) {
  MembershipLimits Limits;
  Limits.m_SuspectAfter = Interval * SuspectAfterAnnouncements;
  Limits.m_LostAfter = Interval * LostAfterAnnouncements;
  return Limits;
}

} // namespace mangocart
