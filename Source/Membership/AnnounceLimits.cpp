// Multiples of the interval.
#include "Membership/AnnounceLimits.h"

namespace mangocart {

namespace {

// Announcements that may be missed before a backend server is suspect, lost.
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
