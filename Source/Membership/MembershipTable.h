// What an entry knows of the announced backend servers. Records are merged by
// an order that late and doubled messages can't upset; health is worked out
// from the age of the newest heartbeat and from failed calls.
//
// The order of two records of one backend server: higher incarnation first,
// then the later stage (LEFT, LEAVING, SERVING or UNAVAILABLE), then the higher
// counter. So a late SERVING never revives a server that is leaving, while a
// backend server may become unavailable and serve again in one incarnation.
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
  // The agent lives; its backend server does not answer.
  Unavailable,
  Leaving,
  Left
};

// One announcement of a backend server, as its agent made it.
struct Member {
  std::string m_BackendServer;
  std::string m_Service;
  std::string m_AvailabilityZone;
  std::string m_Address;
  std::uint16_t m_PeerPort = 0;
  MemberState m_State = MemberState::Serving;
  std::uint32_t m_Outstanding = 0;
  // Grows with every start of the agent.
  std::uint64_t m_Incarnation = 0;
  // Grows with every announcement of one incarnation.
  std::uint64_t m_Counter = 0;
  std::uint64_t m_ConfigurationVersion = 0;
  // Load as the backend server reports it, and when it was measured.
  double m_ReportedLoad = 0.0;
  TimePoint m_LoadMeasuredAt;
  // Requests that it works on at once; 0: not known.
  std::uint32_t m_Slots = 0;
  // The rank group that it belongs to; empty: none. A group works only as a
  // whole: while it is broken, none of its ranks takes requests.
  std::string m_Group;
  // Counts how often the group has formed.
  std::uint64_t m_GroupEpoch = 0;
  bool m_GroupBroken = false;

  bool operator==(const Member &) const = default;
};

enum class MemberHealth : std::uint8_t {
  Healthy,
  // Heartbeats are missing or calls failed: chosen only for want of better.
  Suspect,
  // Silent for so long that it isn't a candidate.
  Lost
};

// "healthy", "suspect" or "lost".
std::string_view toString(MemberHealth Health);

struct MembershipLimits {
  // Silence after which a member is suspect, and after which it is lost.
  Duration m_SuspectAfter = std::chrono::milliseconds(1500);
  Duration m_LostAfter = std::chrono::seconds(5);
  // How long the first failed call makes a member suspect; each further one in
  // a row doubles the time up to the limit.
  Duration m_FailedCallAvoidance = std::chrono::milliseconds(500);
  Duration m_MaxAvoidance = std::chrono::seconds(8);
  // Members that fell silent within this time are counted together when the
  // table asks whether the observer itself is cut off.
  Duration m_ObserverDoubtWindow = std::chrono::seconds(60);
  // How long a member that left or is lost is remembered, so that a late
  // message can't bring it back.
  Duration m_TombstoneRetention = std::chrono::minutes(10);
  // Heartbeats that change nothing else are passed on at most this often.
  Duration m_RefreshInterval = std::chrono::seconds(2);

  bool operator==(const MembershipLimits &) const = default;
};

// A member with what this observer adds to the announcement.
struct TableEntry {
  Member m_Member;
  // When the newest heartbeat was received, here or by the entry that passed
  // it on. Never moves back.
  TimePoint m_HeardAt;
  // Suspect until then because of failed calls.
  TimePoint m_AvoidedUntil;
  std::uint32_t m_FailedCallsInRow = 0;
  // Number of the last change that is worth passing on; unique in the table.
  std::uint64_t m_ChangeNumber = 0;
  TimePoint m_ChangedAt;
  // Place of the availability zone in MembershipTable::m_Zones.
  std::uint32_t m_Zone = 0;
  // Health that the last sweep reported.
  MemberHealth m_ReportedHealth = MemberHealth::Healthy;

  bool operator==(const TableEntry &) const = default;
};

struct MembershipTable {
  MembershipLimits m_Limits;
  // Keyed by the name of the backend server.
  std::map<std::string, TableEntry, std::less<>> m_Entries;
  // The highest change number given out.
  std::uint64_t m_LastChange = 0;
  // Names of the zones in the order in which they were first seen.
  std::vector<std::string> m_Zones;

  bool operator==(const MembershipTable &) const = default;
};

enum class MergeResult {
  // Unknown until now, or a new incarnation of a known server.
  Joined,
  // Same incarnation, another state.
  StateChanged,
  // Same state, newer heartbeat.
  Refreshed,
  // Doubled, late or too old: nothing changed.
  Stale
};

// Merges one record whose heartbeat was received HeardAgo before Now: zero when
// the agent itself has just announced, else as the passing entry states.
MergeResult merge(MembershipTable &Table, const Member &Record,
                  Duration HeardAgo, TimePoint Now);

// A backend server left whose incarnation the one who says so doesn't know: the
// one that the table holds is meant.
Member withKnownIncarnation(const MembershipTable &Table, Member Record);

// Two backend servers announce one address: the older incarnation is gone, even
// if it never said so. To be called after a merge that returned Joined.
void forgetReplaced(MembershipTable &Table, const std::string &Joined,
                    TimePoint Now);

// A call to this incarnation failed in a way that speaks against the server: no
// connection, connection lost, no answer in time. An older incarnation's
// failures don't count against a newer one.
void noteCallFailed(MembershipTable &Table, std::string_view BackendServer,
                    std::uint64_t Incarnation, TimePoint Now);
void noteCallSucceeded(MembershipTable &Table, std::string_view BackendServer,
                       std::uint64_t Incarnation);

struct Candidate {
  Member m_Member;
  // True when a candidate without this mark goes before it.
  bool m_Avoided = false;

  bool operator==(const Candidate &) const = default;
};

// A candidate by reference: valid until the table is changed.
struct CandidateView {
  const Member *m_Member = nullptr;
  bool m_Avoided = false;

  bool operator==(const CandidateView &) const = default;
};

// Whether the group's ranks say that it is broken: some rank does so in the
// newest epoch that any of them names.
bool isGroupBroken(const MembershipTable &Table, std::string_view Group);

// A rank refused work because its group is broken in the epoch that the table
// knows; until news of a later epoch the group counts as broken.
void noteGroupBroken(MembershipTable &Table, std::string_view BackendServer);

// The servers of a service that new work may go to: serving, and not lost. If
// more than half of a zone's servers fell silent within the doubt window, the
// observer is suspected: their silence isn't held against them, failed calls
// still are. If nothing else is left, lost servers are candidates too.
std::vector<CandidateView> eligibleViews(const MembershipTable &Table,
                                         std::string_view Service,
                                         TimePoint Now);

// The same with copies of the members.
std::vector<Candidate> eligible(const MembershipTable &Table,
                                std::string_view Service, TimePoint Now);

// True when this observer's silence from a zone says more of the observer.
bool observerInDoubt(const MembershipTable &Table,
                     std::string_view AvailabilityZone, TimePoint Now);

// Health by heartbeats and failed calls, the observer's doubt left aside.
MemberHealth health(const MembershipTable &Table, const TableEntry &Entry,
                    TimePoint Now);

// Null when the server isn't known.
const TableEntry *find(const MembershipTable &Table,
                       std::string_view BackendServer);

struct HealthChange {
  std::string m_BackendServer;
  std::uint64_t m_Incarnation = 0;
  MemberHealth m_From = MemberHealth::Healthy;
  MemberHealth m_To = MemberHealth::Healthy;

  bool operator==(const HealthChange &) const = default;
};

// Reports changes of health since the last sweep and forgets servers that left
// or were lost longer ago than the tombstone retention. Call it at about the
// interval of the heartbeats.
std::vector<HealthChange> sweep(MembershipTable &Table, TimePoint Now);

struct Difference {
  Member m_Member;
  Duration m_HeardAgo = Duration::zero();

  bool operator==(const Difference &) const = default;
};

struct DifferenceBatch {
  std::vector<Difference> m_Differences;
  // Pass this as Since next time, once the peer has confirmed the batch.
  std::uint64_t m_Next = 0;
  // More changes wait; call again.
  bool m_More = false;

  bool operator==(const DifferenceBatch &) const = default;
};

// The records that changed after the change number Since, oldest change first,
// at most MaxRecords. Since 0 asks for all. Lost servers aren't passed on.
DifferenceBatch differencesSince(const MembershipTable &Table,
                                 std::uint64_t Since, std::size_t MaxRecords,
                                 TimePoint Now);

// Conversions. A state that the schema doesn't name counts as
// Unavailable.
Member memberFromSchema(const schema::Announcement &Message, Duration HeardAgo,
                        TimePoint Now);
void memberToSchema(const Member &Record, TimePoint Now,
                    schema::Announcement &Message);
void differenceToSchema(const Difference &Change, TimePoint Now,
                        schema::MemberRecord &Message);

} // namespace mangocart

#endif
