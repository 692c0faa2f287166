// A customer's limit divided over the entries. Each entry owns a base share
// that never moves; the rest of the limit floats to where the demand is. One
// entry at a time (the leader of the replicated log) plans the floating part
// and lends it on a lease. An entry that is cut off falls back to its base
// share when the lease ends, so the shares never add up to more than the limit,
// whatever is lost, late, doubled or restarted.
#ifndef MANGOCART_ROUTING_LIMITSHARES_H
#define MANGOCART_ROUTING_LIMITSHARES_H

#include "Core/RuntimeClock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mangocart {

struct LimitShareOptions {
  // Part of the limit that is split evenly and never moves.
  double m_BasePart = 0.5;
  // Plans follow each other by at most the first and at least the second; a
  // demand beyond its share brings the next one forward.
  Duration m_MaxInterval = std::chrono::seconds(5);
  Duration m_MinInterval = std::chrono::milliseconds(500);
  // Part of the limit that a share must be off its target to be moved.
  double m_Gate = 0.02;
  // Lease of the floating part, from the moment that an entry sent the report
  // that renews it.
  Duration m_Lease = std::chrono::seconds(5);
  // Added by the planner before it lends a lapsed part again; covers clocks
  // that run at different rates.
  Duration m_LeaseMargin = std::chrono::milliseconds(500);
  // Demand of this age counts half.
  Duration m_DemandHalfLife = std::chrono::seconds(2);
  // A floating part that nobody needed for so long is taken back.
  Duration m_IdleAfter = std::chrono::seconds(60);

  bool operator==(const LimitShareOptions &) const = default;
};

// Demand of one customer at one entry, tokens a second.
struct CustomerDemand {
  std::uint64_t m_Customer = 0;
  double m_Demand = 0.0;

  bool operator==(const CustomerDemand &) const = default;
};

// Entry to planner: renews the lease and says what is wanted.
struct ShareReport {
  std::uint32_t m_Entry = 0;
  // Generation of the sender's floating parts; a greater one holds nothing of
  // those before.
  std::uint64_t m_Generation = 0;
  // Of the sender's clock; comes back in the reply.
  TimePoint m_SentAt;
  // Term and sequence of the last reply that was applied.
  std::uint64_t m_Term = 0;
  std::uint64_t m_Applied = 0;
  // A demand is beyond its share.
  bool m_Urgent = false;
  // Only demands beyond the base share; any other needs no floating part.
  std::vector<CustomerDemand> m_Demands;

  bool operator==(const ShareReport &) const = default;
};

struct ShareGrant {
  std::uint64_t m_Customer = 0;
  // Floating part, tokens a second.
  double m_Floating = 0.0;

  bool operator==(const ShareGrant &) const = default;
};

// Planner to entry.
struct ShareReply {
  std::uint64_t m_Term = 0;
  // Grows by one with each reply to the entry in the term.
  std::uint64_t m_Sequence = 0;
  // Of the report that is answered.
  std::uint64_t m_Generation = 0;
  TimePoint m_ReportSentAt;
  std::vector<ShareGrant> m_Grants;

  bool operator==(const ShareReply &) const = default;
};

// ---- At each entry.

struct CustomerShare {
  double m_Floating = 0.0;
  // Rate of what callers asked for, refused requests included.
  double m_Demand = 0.0;
  TimePoint m_DemandSeen;
};

struct EntryShares {
  std::uint32_t m_Entry = 0;
  std::uint32_t m_EntryCount = 1;
  // Starts with the incarnation of the process (wall time in milliseconds) and
  // grows when a lease ends.
  std::uint64_t m_Generation = 0;
  std::uint64_t m_Term = 0;
  std::uint64_t m_Applied = 0;
  // Floating parts are void from here on; none while nothing is lent in this
  // generation.
  std::optional<TimePoint> m_LeaseEnd;
  std::map<std::uint64_t, CustomerShare> m_Customers;
};

// Counts tokens that callers of the customer asked for.
void noteDemand(EntryShares &Shares, std::uint64_t Customer, double Tokens,
                const LimitShareOptions &Options, TimePoint Now);

// The customer's share at this entry, tokens a second.
double currentShare(const EntryShares &Shares, std::uint64_t Customer,
                    double Limit, const LimitShareOptions &Options,
                    TimePoint Now);

// The report to send now. The limit of a customer is needed to see whether its
// demand is beyond its share.
ShareReport makeReport(EntryShares &Shares,
                       const std::map<std::uint64_t, double> &Limits,
                       const LimitShareOptions &Options, TimePoint Now);

// Takes a reply; late, doubled and lapsed ones change nothing.
void applyReply(EntryShares &Shares, const ShareReply &Reply,
                const LimitShareOptions &Options, TimePoint Now);

// ---- At the planner.

struct LentShare {
  double m_Demand = 0.0;
  // Confirmed by the entry.
  double m_Confirmed = 0.0;
  // Sent and not confirmed, since the reply of that sequence.
  std::optional<double> m_Pending;
  std::uint64_t m_PendingSequence = 0;
};

struct PlannedEntry {
  std::uint64_t m_Generation = 0;
  std::uint64_t m_Sequence = 0;
  // The entry may hold its floating parts until this time.
  TimePoint m_HeldUntil;
  std::map<std::uint64_t, LentShare> m_Shares;
};

struct SharePlanner {
  std::uint64_t m_Term = 0;
  std::uint32_t m_EntryCount = 1;
  // Nothing is lent before: leases of an earlier planner may last.
  TimePoint m_LendFrom;
  TimePoint m_LastPlan;
  bool m_Urgent = false;
  std::map<std::uint32_t, PlannedEntry> m_Entries;
  // When a customer last needed its floating part.
  std::map<std::uint64_t, TimePoint> m_LastNeeded;
  // Floating parts that were changed; the cost of planning.
  std::uint64_t m_Moves = 0;
};

// For a process that has just become the leader. It may answer reports only
// while it holds the leader's lease.
SharePlanner startPlanner(std::uint64_t Term, std::uint32_t EntryCount,
                          const LimitShareOptions &Options, TimePoint Now);

// Takes a report, plans if a plan is due, and gives the reply; none for a late
// report of a generation that has ended. Of a customer, what entries hold or
// may hold never adds up to more than the floating part of the limit.
std::optional<ShareReply>
answerReport(SharePlanner &Planner, const ShareReport &Report,
             const std::map<std::uint64_t, double> &Limits,
             const LimitShareOptions &Options, TimePoint Now);

} // namespace mangocart

#endif
