// The membership table behind a lock, with this entry's own calls in flight:
// answers which backend server a request goes to.
#ifndef MANGOCART_ENTRY_MEMBERSHIPDIRECTORY_H
#define MANGOCART_ENTRY_MEMBERSHIPDIRECTORY_H

#include "Entry/BackendDirectory.h"
#include "Entry/RoutingTable.h"
#include "Membership/MembershipTable.h"

#include <functional>
#include <mutex>
#include <vector>

namespace mangocart::schema {
class MemberRecord;
} // namespace mangocart::schema

namespace mangocart {

class EventLog;

// What `status` shows of one backend server.
struct MemberView {
  Member m_Member;
  MemberHealth m_Health = MemberHealth::Healthy;
  std::uint32_t m_OwnOutstanding = 0;
};

class MembershipDirectory : public BackendDirectory {
public:
  MembershipDirectory(EventLog &Events, std::string AvailabilityZone,
                      std::uint32_t EntryCount, std::uint64_t Seed);

  // Before any other function.
  void setLimits(const MembershipLimits &Limits) { m_Table.m_Limits = Limits; }
  // Called without the lock after a record has changed more than a counter.
  void onNews(std::function<void()> Handler) { m_OnNews = std::move(Handler); }
  // Entries among which the places of a server are shared.
  void setEntryCount(std::uint32_t Count);
  // What another entry has in flight, and what this one has.
  void othersWork(const std::string &Entry, OthersWork Work);
  OthersWork ownWork() const;
  // A rank refused work because its group is broken.
  void noteGroupBroken(const BackendTarget &Target);
  // Another backend server has answered at the target's address.
  void noteReplaced(const BackendTarget &Target);

  std::optional<BackendTarget> choose(const ChoiceRequest &Request) override;
  // Whether a server that wasn't tried yet is known to live, full or not.
  bool hasUsable(const ChoiceRequest &Request) const;
  // Requests that this entry may have at work for the service now; none when
  // no server is known to live.
  std::optional<std::size_t> places(const ChoiceRequest &Request);

  void callStarted(const BackendTarget &Target, const CallSize &Size) override;
  void callProgressed(const BackendTarget &Target) override;
  void callEnded(const BackendTarget &Target, const CallSize &Size,
                 const CallReport &Report) override;

  // Counts a first attempt of the service, and judges a failed one.
  void earnRetry(std::string_view Service);
  RetryDecision judgeRetry(std::string_view Service,
                           const FailedAttempt &Failed);

  // A heartbeat from an agent itself. Returns the highest incarnation known.
  std::uint64_t announced(const schema::Announcement &Message);
  void announced(const Member &Record) {
    mergeRecord(Record, Duration::zero());
  }
  // A record passed on by another entry.
  void heard(const schema::MemberRecord &Record);
  DeltaBatch differences(std::uint64_t Since, std::size_t MaxRecords);
  // Reports members that became suspect, lost or healthy, and servers that were
  // ejected or came back.
  void sweepMembers();
  std::vector<MemberView> members() const;
  // Backend servers of the service that new work may go to.
  std::size_t eligibleCount(std::string_view Service) const;
  // The agent of a backend server, if it is known.
  std::optional<BackendTarget> locate(std::string_view BackendServer) const;

private:
  void mergeRecord(const Member &Record, Duration HeardAgo);
  std::vector<CandidateView> usable(const ChoiceRequest &Request) const;

  EventLog &m_Events;
  std::function<void()> m_OnNews;
  mutable std::mutex m_Mutex;
  // All below guarded by m_Mutex, which is taken after no other lock.
  MembershipTable m_Table;
  RoutingTable m_Routing;
};

} // namespace mangocart

#endif
