// Distribution of a customer's rate limit over the entries. Each entry owns a
// fixed base share; the rest of the limit is floating and follows the demand.
// One entry at a time (the leader of the replicated log) plans the floating
// shares and grants them on a lease. An entry that is disconnected falls back
// to its base share when the lease ends, so the shares never add up to more
// than the limit, even if messages are lost, delayed or duplicated, or
// processes restart.
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
  // Fraction of the limit that is split evenly as fixed base shares.
  double m_BaseFraction = 0.5;
  // Maximum and minimum interval between plans; a demand beyond its share
  // requests the next plan earlier.
  Duration m_MaxInterval = std::chrono::seconds(5);
  Duration m_MinInterval = std::chrono::milliseconds(500);
  // A share is changed only if it differs from its target by more than this
  // fraction of the limit.
  double m_ChangeThreshold = 0.02;
  // Duration of the lease of a floating share, from the time at which the entry
  // sent the report that renews it.
  Duration m_Lease = std::chrono::seconds(5);
  // Margin before the planner grants an expired share again; covers clocks that
  // run at different rates.
  Duration m_LeaseMargin = std::chrono::milliseconds(500);
  // Half-life of the demand average.
  Duration m_DemandHalfLife = std::chrono::seconds(2);
  // Floating shares are revoked after this time without demand.
  Duration m_IdleTimeout = std::chrono::seconds(60);

  bool operator==(const LimitShareOptions &) const = default;
};

// Demand of one customer at one entry, in tokens per second.
struct CustomerDemand {
  std::uint64_t m_Customer = 0;
  double m_Demand = 0.0;

  bool operator==(const CustomerDemand &) const = default;
};

// From an entry to the planner: renews the lease and reports the demand.
struct ShareReport {
  std::uint32_t m_Entry = 0;
  // Generation of the sender's floating shares; a greater one invalidates those
  // of earlier generations.
  std::uint64_t m_Generation = 0;
  // Time on the sender's clock; returned in the reply.
  TimePoint m_SentAt;
  // Term and sequence number of the last applied reply.
  std::uint64_t m_Term = 0;
  std::uint64_t m_Applied = 0;
  // Some demand exceeds its share.
  bool m_Urgent = false;
  // Only demands that exceed the base share; others need no floating share.
  std::vector<CustomerDemand> m_Demands;

  bool operator==(const ShareReport &) const = default;
};

struct ShareGrant {
  std::uint64_t m_Customer = 0;
  // Floating share in tokens per second.
  double m_Floating = 0.0;

  bool operator==(const ShareGrant &) const = default;
};

// From the planner to an entry.
struct ShareReply {
  std::uint64_t m_Term = 0;
  // Incremented with each reply to the entry in the term.
  std::uint64_t m_Sequence = 0;
  // Generation of the report that is answered.
  std::uint64_t m_Generation = 0;
  TimePoint m_ReportSentAt;
  std::vector<ShareGrant> m_Grants;

  bool operator==(const ShareReply &) const = default;
};

// ---- Entry side.

struct CustomerShare {
  double m_Floating = 0.0;
  // Requested rate in tokens per second, rejected requests included.
  double m_Demand = 0.0;
  TimePoint m_DemandUpdated;
};

struct EntryShares {
  std::uint32_t m_Entry = 0;
  std::uint32_t m_EntryCount = 1;
  // Starts at the incarnation of the process (wall time in milliseconds) and is
  // incremented when a lease ends.
  std::uint64_t m_Generation = 0;
  std::uint64_t m_Term = 0;
  std::uint64_t m_Applied = 0;
  // End of validity of the floating shares; empty if none was granted in this
  // generation.
  std::optional<TimePoint> m_LeaseEnd;
  std::map<std::uint64_t, CustomerShare> m_Customers;
};

// Records tokens requested by callers of the customer.
void recordDemand(EntryShares &Shares, std::uint64_t Customer, double Tokens,
                  const LimitShareOptions &Options, TimePoint Now);

// The customer's share at this entry in tokens per second.
double currentShare(const EntryShares &Shares, std::uint64_t Customer,
                    double Limit, const LimitShareOptions &Options,
                    TimePoint Now);

// Creates the report to send now. The limits determine whether a demand exceeds
// its share.
ShareReport makeReport(EntryShares &Shares,
                       const std::map<std::uint64_t, double> &Limits,
                       const LimitShareOptions &Options, TimePoint Now);

// Applies a reply; late, duplicate and expired replies are ignored.
void applyReply(EntryShares &Shares, const ShareReply &Reply,
                const LimitShareOptions &Options, TimePoint Now);

// ---- Planner side.

struct LeasedShare {
  double m_Demand = 0.0;
  // Share confirmed by the entry.
  double m_Confirmed = 0.0;
  // Share sent with the reply m_PendingSequence and not confirmed yet.
  std::optional<double> m_Pending;
  std::uint64_t m_PendingSequence = 0;
};

struct PlannedEntry {
  std::uint64_t m_Generation = 0;
  std::uint64_t m_Sequence = 0;
  // The entry may use its floating shares until this time.
  TimePoint m_HeldUntil;
  std::map<std::uint64_t, LeasedShare> m_Shares;
};

struct SharePlanner {
  std::uint64_t m_Term = 0;
  std::uint32_t m_EntryCount = 1;
  // No grants before this time: leases of an earlier planner may still be
  // valid.
  TimePoint m_EarliestGrant;
  TimePoint m_LastPlan;
  bool m_Urgent = false;
  std::map<std::uint32_t, PlannedEntry> m_Entries;
  // Time at which a customer last needed its floating share.
  std::map<std::uint64_t, TimePoint> m_LastNeeded;
  // Number of changed floating shares; measures the cost of planning.
  std::uint64_t m_Changes = 0;
};

// Creates the planner of a new leader. It may answer reports only while it
// holds the leader lease.
SharePlanner startPlanner(std::uint64_t Term, std::uint32_t EntryCount,
                          const LimitShareOptions &Options, TimePoint Now);

// Handles a report, replans if a plan is due, and returns the reply; empty for
// a late report of an earlier generation. For each customer, the sum of the
// floating shares that entries may hold never exceeds the floating part of the
// limit.
std::optional<ShareReply>
handleReport(SharePlanner &Planner, const ShareReport &Report,
             const std::map<std::uint64_t, double> &Limits,
             const LimitShareOptions &Options, TimePoint Now);

} // namespace mangocart

#endif
