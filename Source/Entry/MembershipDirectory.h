// Thread-safe access to the membership table and to the in-flight calls of this
// entry; selects the backend server of a request.
#ifndef MANGOCART_ENTRY_MEMBERSHIPDIRECTORY_H
#define MANGOCART_ENTRY_MEMBERSHIPDIRECTORY_H

#include "Entry/BackendDirectory.h"
#include "Entry/ColdReport.h"
#include "Entry/RoutingState.h"
#include "Membership/Evacuations.h"
#include "Membership/MembershipTable.h"
#include "Routing/GroupStall.h"

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <vector>

namespace mangocart::schema {
class MemberRecord;
} // namespace mangocart::schema

namespace mangocart {

class EventLog;

// State of one backend server for the status endpoint.
struct MemberView {
  Member m_Member;
  MemberHealth m_Health = MemberHealth::Healthy;
  std::uint32_t m_OwnOutstanding = 0;
};

// Cold servers of services with a cold rate.
struct ColdCounts {
  std::size_t m_ColdServers = 0;
  // Choices that found no server while an allowance excluded one.
  std::uint64_t m_HeldByAllowance = 0;

  bool operator==(const ColdCounts &) const = default;
};

struct ServiceAvailability {
  // Number of backend servers that accept new requests.
  std::size_t m_Servers = 0;
  // Set if there are none because all have asked for a pause: the end of the
  // first one.
  std::optional<TimePoint> m_ResumesAt;
  // Set if there are none because the only ones that would accept requests are
  // in evacuated zones, and none outside may soon do so.
  bool m_IsEvacuated = false;

  bool operator==(const ServiceAvailability &) const = default;
};

class MembershipDirectory : public BackendDirectory {
public:
  MembershipDirectory(EventLog &Events, std::string AvailabilityZone,
                      std::uint32_t EntryCount, std::uint64_t Seed);

  // Must be called before any other function.
  void setLimits(const MembershipLimits &Limits) { m_Table.m_Limits = Limits; }
  // The handler is called without the lock after changes to a record other than
  // its counters.
  void onMemberChange(std::function<void()> Handler) {
    m_OnMemberChange = std::move(Handler);
  }
  // Number of entries that share the slots of a server.
  void setEntryCount(std::uint32_t Count);
  // In-flight calls of another entry, and of this one.
  void setOtherEntryCalls(const std::string &Entry, OutstandingCalls Calls);
  OutstandingCalls ownCalls() const;
  // All known gateways, for the shares of limits that servers name and of cold
  // servers. HasMajority: a majority of the voters is connected.
  void setGateways(GatewayList Gateways, bool HasMajority = false);
  // The services with a cold rate, and what cold servers bear beyond it.
  void setColdRates(std::map<std::string, double, std::less<>> Rates);
  void setColdBurst(double Factor, double Slack);
  // When waiting requests may next be sent to a cold server whose permits this
  // gateway has used up; no value if there is none.
  std::optional<TimePoint> nextColdPermit() const;
  ColdCounts coldCounts() const;
  // Records what an answer of the server says of it. SentAt: when its request
  // was sent; no value if another server may have answered.
  void noteAnswer(const BackendTarget &Target, const ServerNotice &Notice,
                  std::optional<TimePoint> SentAt = std::nullopt);
  // Limits that other gateways have not been told of yet, and all known ones.
  std::map<std::string, LimitSighting> takeLimitNews();
  std::map<std::string, LimitSighting> knownLimits() const;
  // Records a limit that another gateway has seen.
  void heardLimit(const std::string &Server, const LimitSighting &Seen);
  // Records that a rank refused work because its group is broken.
  void noteGroupBroken(const BackendTarget &Target);
  // Whether the target's incarnation has sent a heartbeat since then: false if
  // it has left or another one has taken its place, no value while nothing
  // later is known.
  std::optional<bool> hasHeartbeatSince(const BackendTarget &Target,
                                        TimePoint Since) const;
  // Records that another backend server has answered at the address of the
  // target.
  void markReplaced(const BackendTarget &Target);

  // Servers in the zones get no requests until the zones are withdrawn. Ignores
  // a state that isn't newer than the one in force; returns whether it is.
  bool setEvacuations(const Evacuations &State);
  Evacuations evacuations() const;

  std::optional<BackendTarget> choose(const ChoiceRequest &Request) override;
  // Whether an untried server is known to be alive, full or not.
  bool hasCandidates(const ChoiceRequest &Request) const;
  // Maximum number of in-flight requests of the service at this entry; empty if
  // no server is known to be alive.
  std::optional<std::size_t> slots(const ChoiceRequest &Request);
  FreeCapacity freeCapacity(const ChoiceRequest &Request);

  void callStarted(const BackendTarget &Target, const CallSize &Size) override;
  void callProgressed(const BackendTarget &Target) override;
  void callEnded(const BackendTarget &Target, const CallSize &Size,
                 const CallReport &Report) override;

  // Records the first data of a stream from the backend server, and its end.
  // callProgressed() records its further data.
  void streamBegan(const BackendTarget &Target);
  void streamEnded(const BackendTarget &Target);
  // Records the first data of the answer to a call, of a stream or not; its
  // prompt is no longer pending. CallReport::m_HasBegun must be set at its end.
  void answerBegan(const BackendTarget &Target, const CallSize &Size);
  // Sum of this entry's pending prompt tokens over all servers.
  std::uint64_t ownPendingPromptTokens() const;
  // Records the time between two events of a stream of the backend server.
  void gapObserved(const BackendTarget &Target, Duration Gap);

  // Records a first attempt in the retry budget of the service, and decides
  // whether to retry a failed one.
  void recordFirstAttempt(std::string_view Service);
  RetryDecision requestRetry(std::string_view Service,
                             const FailedAttempt &Failed);

  // Merges an announcement received from an agent itself. Returns the highest
  // known incarnation.
  std::uint64_t announced(const schema::Announcement &Message);
  void announced(const Member &Record) {
    mergeRecord(Record, Duration::zero());
  }
  // Merges a record received from another entry.
  void heard(const schema::MemberRecord &Record);
  void heard(const MemberDelta &Record) {
    mergeRecord(Record.m_Member, Record.m_HeartbeatAge);
  }
  // The record of a backend server that is leaving or has left; no value for
  // others.
  std::optional<MemberDelta> departure(std::string_view BackendServer) const;
  // The number of the last change of the backend server's record, which
  // differences() needs to be past to have returned it; 0 if it is unknown.
  std::uint64_t changeNumber(std::string_view BackendServer) const;
  DeltaBatch differences(std::uint64_t Since, std::size_t MaxRecords);
  // Logs members that became suspect, lost, healthy, cold or no longer cold,
  // and servers that were ejected or reinstated.
  void sweepMembers();
  std::vector<MemberView> members() const;
  // Observed passes and limits of the rank groups, by name.
  std::map<std::string, GroupPasses, std::less<>> groupPasses() const;
  // Tried: servers that don't count.
  ServiceAvailability
  availability(std::string_view Service,
               const std::vector<std::string> &Tried = {}) const;
  // Number of the service's parts that fail independently: rank groups and
  // servers without one, that accept new requests.
  std::size_t independentUnits(std::string_view Service) const;
  // The rank group of a backend server; empty if it has none or is unknown.
  std::string groupName(std::string_view BackendServer) const;
  // The agent of a backend server; empty if unknown.
  std::optional<BackendTarget> locate(std::string_view BackendServer) const;

private:
  // Merges a later state of the target's incarnation; returns whether that has
  // changed the table. Called with the lock held.
  bool advanceState(const BackendTarget &Target, MemberState State);
  void mergeRecord(const Member &Record, Duration HeardAgo);
  std::vector<CandidateView> candidates(const ChoiceRequest &Request) const;
  // Whether the service has servers in evacuated zones, but outside of them no
  // untried one that is neither leaving nor lost.
  bool isServiceEvacuated(std::string_view Service,
                          const std::vector<std::string> &Tried) const;
  // Servers of the service that accept requests, outside of evacuated zones and
  // of stalled rank groups.
  std::vector<CandidateView> usableViews(std::string_view Service) const;
  // The rank group of a backend server; empty if it has none.
  const std::string &groupOf(const BackendTarget &Target) const;

  EventLog &m_Events;
  std::function<void()> m_OnMemberChange;
  mutable std::mutex m_Mutex;
  // The members below are guarded by m_Mutex, which is a leaf of the lock
  // order: no other lock is acquired while it is held, and it may be acquired
  // while others are.
  MembershipTable m_Table;
  RoutingState m_Routing;
  GroupStallDetector m_Stalls;
  // Servers that were logged as cold.
  std::set<std::string> m_ReportedCold;
  Evacuations m_Evacuations;
};

} // namespace mangocart

#endif
