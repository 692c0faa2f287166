// The announced backend servers as known to an entry. Records are merged by a
// total order, so that late and duplicated messages have no effect; health is
// derived from the age of the latest heartbeat and from failed calls.
//
// Of two records of one backend server the one with the higher incarnation
// wins, then the one with the later stage (LEFT, LEAVING, SERVING or
// UNAVAILABLE), then the one with the higher counter. So a late SERVING never
// revives a server that is leaving, while a backend server may become
// unavailable and serve again in one incarnation.
//
// A LEFT record without an incarnation comes from a sender that doesn't know
// it. It ends the incarnation that was known when it was sent, in whatever
// order the records arrive, but no later one.
#ifndef MANGOCART_MEMBERSHIP_MEMBERSHIPTABLE_H
#define MANGOCART_MEMBERSHIP_MEMBERSHIPTABLE_H

#include "Core/RuntimeClock.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace mangocart::schema {
class Announcement;
class MemberRecord;
} // namespace mangocart::schema

namespace mangocart {

enum class MemberState : std::uint8_t {
  Serving,
  // The agent is running, but its backend server does not answer.
  Unavailable,
  Leaving,
  Left
};

// Whether a backend server in this state gets no new requests for good.
constexpr bool hasDeparted(MemberState State) {
  return State == MemberState::Leaving || State == MemberState::Left;
}

// An announcement of a backend server, as sent by its agent.
struct Member {
  std::string m_BackendServer;
  std::string m_Service;
  std::string m_AvailabilityZone;
  std::string m_Address;
  std::uint16_t m_PeerPort = 0;
  MemberState m_State = MemberState::Serving;
  std::uint32_t m_Outstanding = 0;
  // Incremented at every start of the agent.
  std::uint64_t m_Incarnation = 0;
  // Incremented with every announcement of an incarnation.
  std::uint64_t m_Counter = 0;
  std::uint64_t m_ConfigurationVersion = 0;
  // Load reported by the backend server, and when it was measured.
  double m_ReportedLoad = 0.0;
  TimePoint m_LoadMeasuredAt;
  // Maximum number of concurrent requests; 0: unknown.
  std::uint32_t m_Slots = 0;
  // The rank group that the backend server belongs to; empty: none. A group
  // works only as a whole: while it is broken, none of its ranks accepts
  // requests.
  std::string m_Group;
  // Incremented whenever the group is formed.
  std::uint64_t m_GroupEpoch = 0;
  bool m_GroupBroken = false;
  // The backend server is cold until then; a time in the past if it isn't.
  TimePoint m_ColdUntil;

  bool operator==(const Member &) const = default;
};

enum class MemberHealth : std::uint8_t {
  Healthy,
  // Heartbeats are missing or calls failed; chosen only if no healthy member is
  // available.
  Suspect,
  // No heartbeat for so long that the member isn't a candidate.
  Lost
};

// "healthy", "suspect" or "lost".
std::string_view toString(MemberHealth Health);

struct MembershipLimits {
  // Time without a heartbeat after which a member is suspect, and after which
  // it is lost.
  Duration m_SuspectAfter = std::chrono::milliseconds(1500);
  Duration m_LostAfter = std::chrono::seconds(5);
  // How long a member is suspect after a failed call; doubled with each further
  // consecutive failure up to m_MaxAvoidance.
  Duration m_FailedCallAvoidance = std::chrono::milliseconds(500);
  Duration m_MaxAvoidance = std::chrono::seconds(8);
  // Members whose heartbeats stopped within this time are counted to decide
  // whether the observer itself is isolated.
  Duration m_IsolationWindow = std::chrono::seconds(60);
  // How long a member that left or is lost is kept, so that a late message
  // can't add it again.
  Duration m_TombstoneRetention = std::chrono::minutes(10);
  // Minimum interval between propagated heartbeats that change nothing else.
  Duration m_RefreshInterval = std::chrono::seconds(2);
  // The announced end of a cold phase varies by the delays of announcements.
  // Only a larger difference is a change of state.
  Duration m_ColdEndTolerance = std::chrono::seconds(1);

  bool operator==(const MembershipLimits &) const = default;
};

// Time after its last heartbeat at which a server that departed is forgotten.
Duration tombstoneLifetime(const MembershipLimits &Limits);

// A member with the observer's local data.
struct TableEntry {
  Member m_Member;
  // When the latest heartbeat was received, here or by the entry that forwarded
  // it. Never decreases.
  TimePoint m_LastHeartbeatAt;
  // When the first known heartbeat of this incarnation was received.
  TimePoint m_JoinedAt;
  // The member is suspect until this time because of failed calls.
  TimePoint m_AvoidedUntil;
  std::uint32_t m_ConsecutiveFailures = 0;
  // Number of the last change to propagate; unique in the table.
  std::uint64_t m_ChangeNumber = 0;
  TimePoint m_ChangedAt;
  // Index of the availability zone in MembershipTable::m_Zones.
  std::uint32_t m_Zone = 0;
  // Health reported by the last sweep().
  MemberHealth m_ReportedHealth = MemberHealth::Healthy;

  bool operator==(const TableEntry &) const = default;
};

// Time since the latest heartbeat.
Duration heartbeatAge(const TableEntry &Entry, TimePoint Now);

struct MembershipTable {
  MembershipLimits m_Limits;
  // Keyed by the name of the backend server.
  std::map<std::string, TableEntry, std::less<>> m_Entries;
  // The highest change number assigned.
  std::uint64_t m_LastChangeNumber = 0;
  // Names of the availability zones in the order in which they were first seen.
  std::vector<std::string> m_Zones;

  bool operator==(const MembershipTable &) const = default;
};

enum class MergeResult {
  // A new server, or a new incarnation of a known one.
  Joined,
  // Same incarnation, another state; also cold again, or no longer cold before
  // the announced time.
  StateChanged,
  // Same state, newer heartbeat.
  Refreshed,
  // Duplicate, late or too old; nothing changed.
  Stale
};

// Merges one record whose heartbeat was received HeartbeatAge before Now: zero
// for an announcement received directly from the agent, otherwise as stated by
// the entry that forwarded it.
MergeResult merge(MembershipTable &Table, const Member &Record,
                  Duration HeartbeatAge, TimePoint Now);

// If two backend servers announce the same address, marks the older incarnation
// as left, even if it never announced leaving. To be called after a merge()
// that returned Joined.
void markReplacedAsLeft(MembershipTable &Table, const std::string &Joined,
                        TimePoint Now);

// Records a failed call that indicates a faulty server: no connection,
// connection lost, or no answer in time. Failures of an older incarnation don't
// count against a newer one.
void noteCallFailed(MembershipTable &Table, std::string_view BackendServer,
                    std::uint64_t Incarnation, TimePoint Now);
void noteCallSucceeded(MembershipTable &Table, std::string_view BackendServer,
                       std::uint64_t Incarnation);

struct Candidate {
  Member m_Member;
  // True if candidates without this flag are preferred.
  bool m_Avoided = false;

  bool operator==(const Candidate &) const = default;
};

// A candidate by reference; valid until the table is modified.
struct CandidateView {
  const Member *m_Member = nullptr;
  bool m_Avoided = false;

  bool operator==(const CandidateView &) const = default;
};

// True if any rank reports the group as broken in the newest epoch that any of
// its ranks reports.
bool isGroupBroken(const MembershipTable &Table, std::string_view Group);

// Records that a rank refused work because its group is broken in the epoch
// known to the table. The group counts as broken until a later epoch is
// announced.
void noteGroupBroken(MembershipTable &Table, std::string_view BackendServer);

// Returns the servers of a service that may get new work: serving and not lost.
// If the heartbeats of more than half of a zone's servers stopped within the
// isolation window, the observer itself may be isolated: their missing
// heartbeats are ignored, failed calls still count. If there are no other
// candidates, lost servers are returned.
std::vector<CandidateView> eligibleViews(const MembershipTable &Table,
                                         std::string_view Service,
                                         TimePoint Now);

// The same with copies of the members.
std::vector<Candidate> eligible(const MembershipTable &Table,
                                std::string_view Service, TimePoint Now);

// True if the missing heartbeats of a zone suggest that the observer itself is
// isolated.
bool isIsolationSuspected(const MembershipTable &Table,
                          std::string_view AvailabilityZone, TimePoint Now);

// Health by heartbeats and failed calls, regardless of a suspected isolation.
MemberHealth health(const MembershipTable &Table, const TableEntry &Entry,
                    TimePoint Now);

// Returns null if the server is unknown.
const TableEntry *find(const MembershipTable &Table,
                       std::string_view BackendServer);

struct HealthChange {
  std::string m_BackendServer;
  std::uint64_t m_Incarnation = 0;
  MemberHealth m_From = MemberHealth::Healthy;
  MemberHealth m_To = MemberHealth::Healthy;

  bool operator==(const HealthChange &) const = default;
};

// Returns the changes of health since the last sweep and removes servers that
// left or were lost longer ago than the tombstone retention. To be called at
// about the heartbeat interval.
std::vector<HealthChange> sweep(MembershipTable &Table, TimePoint Now);

struct MemberDelta {
  Member m_Member;
  Duration m_HeartbeatAge = Duration::zero();

  bool operator==(const MemberDelta &) const = default;
};

struct DeltaBatch {
  std::vector<MemberDelta> m_Deltas;
  // The value of Since for the next call, once the peer has confirmed the
  // batch.
  std::uint64_t m_Next = 0;
  // More changes are available; call again with m_Next.
  bool m_More = false;

  bool operator==(const DeltaBatch &) const = default;
};

// Returns the records that changed after the change number Since, oldest change
// first, at most MaxRecords. Since 0 returns all. Lost servers are left out
// unless they have departed.
DeltaBatch deltasSince(const MembershipTable &Table, std::uint64_t Since,
                       std::size_t MaxRecords, TimePoint Now);

// Conversions. A state that the schema doesn't define is read as Unavailable.
Member memberFromSchema(const schema::Announcement &Message,
                        Duration HeartbeatAge, TimePoint Now);
void memberToSchema(const Member &Record, TimePoint Now,
                    schema::Announcement &Message);
void deltaToSchema(const MemberDelta &Change, TimePoint Now,
                   schema::MemberRecord &Message);

} // namespace mangocart

#endif
