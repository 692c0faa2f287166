// The entry side and the planner side of limit shares.
#include "Routing/LimitShares.h"

#include <algorithm>
#include <cmath>

namespace mangocart {

namespace {

// Differences up to this rate in tokens per second are ignored.
constexpr double Negligible = 1e-6;

double decayed(double Value, Duration Age, Duration HalfLife) {
  const double HalfLives = std::chrono::duration<double>(Age) /
                           std::chrono::duration<double>(HalfLife);
  return Value * std::exp2(-std::max(HalfLives, 0.0));
}

double baseShare(double Limit, std::uint32_t EntryCount,
                 const LimitShareOptions &Options) {
  return Limit * Options.m_BaseFraction / EntryCount;
}

void dropExpired(EntryShares &Shares, TimePoint Now) {
  if (!Shares.m_LeaseEnd || Now < *Shares.m_LeaseEnd)
    return;
  for (auto &[Customer, Share] : Shares.m_Customers)
    Share.m_Floating = 0.0;
  Shares.m_LeaseEnd.reset();
  // Replies to reports of the previous generation are invalid: the planner
  // considers those shares revoked.
  ++Shares.m_Generation;
}

// Upper bound of the floating share that the entry may hold.
double reserved(const LeasedShare &Share) {
  return std::max(Share.m_Confirmed, Share.m_Pending.value_or(0.0));
}

void clearShares(PlannedEntry &Entry) {
  for (auto &[Customer, Share] : Entry.m_Shares) {
    Share.m_Confirmed = 0.0;
    Share.m_Pending.reset();
  }
}

void dropExpired(PlannedEntry &Entry, TimePoint Now) {
  if (Now < Entry.m_HeldUntil)
    return;
  clearShares(Entry);
  for (auto &[Customer, Share] : Entry.m_Shares)
    Share.m_Demand = 0.0;
}

void confirm(PlannedEntry &Entry, std::uint64_t Applied) {
  for (auto &[Customer, Share] : Entry.m_Shares)
    if (Share.m_Pending && Share.m_PendingSequence <= Applied) {
      Share.m_Confirmed = *Share.m_Pending;
      Share.m_Pending.reset();
    }
}

// Demand of the customer at an entry beyond its base share.
double excess(const PlannedEntry &Entry, std::uint64_t Customer, double Base) {
  const auto Found = Entry.m_Shares.find(Customer);
  return Found == Entry.m_Shares.end()
             ? 0.0
             : std::max(0.0, Found->second.m_Demand - Base);
}

// Whether the floating shares of the customer are to be revoked, however small
// they are.
bool isIdle(SharePlanner &Planner, std::uint64_t Customer,
            const LimitShareOptions &Options, TimePoint Now) {
  return Now - Planner.m_LastNeeded[Customer] >= Options.m_IdleTimeout;
}

using Targets = std::map<std::uint32_t, double>;

// Target of each entry: its demand beyond the base share, scaled down to the
// floating part of the limit. A surplus is distributed evenly.
Targets planTargets(SharePlanner &Planner, std::uint64_t Customer, double Limit,
                    const LimitShareOptions &Options, TimePoint Now) {
  const double Base = baseShare(Limit, Planner.m_EntryCount, Options);
  const double Floating = Limit * (1.0 - Options.m_BaseFraction);
  Targets Planned;
  double Needed = 0.0;
  for (const auto &[Name, Entry] : Planner.m_Entries)
    if (Now < Entry.m_HeldUntil)
      Needed += Planned[Name] = excess(Entry, Customer, Base);
  if (Needed > 0.0)
    Planner.m_LastNeeded[Customer] = Now;
  if (isIdle(Planner, Customer, Options, Now))
    return Planned;
  const double Scale = Needed > Floating ? Floating / Needed : 1.0;
  const double Spare = Needed > Floating ? 0.0 : Floating - Needed;
  for (auto &[Name, Target] : Planned)
    Target = Target * Scale + Spare / static_cast<double>(Planned.size());
  return Planned;
}

bool needsChange(SharePlanner &Planner, std::uint64_t Customer,
                 const Targets &Planned, double Threshold) {
  return std::any_of(Planned.begin(), Planned.end(), [&](const auto &Each) {
    const LeasedShare &Share = Planner.m_Entries[Each.first].m_Shares[Customer];
    return std::abs(reserved(Share) - Each.second) > Threshold;
  });
}

// Lowers shares first. Raises are limited to the free part, so a raise waits
// until the necessary reductions are confirmed.
void changeTowards(SharePlanner &Planner, std::uint64_t Customer,
                   const Targets &Planned, double Floating) {
  double Free = Floating;
  for (auto &[Name, Entry] : Planner.m_Entries) {
    LeasedShare &Share = Entry.m_Shares[Customer];
    const auto Target = Planned.find(Name);
    if (Target != Planned.end() && !Share.m_Pending &&
        Target->second < Share.m_Confirmed - Negligible) {
      Share.m_Pending = Target->second;
      Share.m_PendingSequence = Entry.m_Sequence + 1;
      ++Planner.m_Changes;
    }
    Free -= reserved(Share);
  }
  for (const auto &[Name, Target] : Planned) {
    PlannedEntry &Entry = Planner.m_Entries[Name];
    LeasedShare &Share = Entry.m_Shares[Customer];
    const double Raise = std::min(Target - Share.m_Confirmed, Free);
    if (Share.m_Pending || Raise <= Negligible)
      continue;
    Share.m_Pending = Share.m_Confirmed + Raise;
    Share.m_PendingSequence = Entry.m_Sequence + 1;
    Free -= Raise;
    ++Planner.m_Changes;
  }
}

// Removes the state of shares that no entry holds or needs.
void removeIdle(SharePlanner &Planner, std::uint64_t Customer) {
  for (auto &[Name, Entry] : Planner.m_Entries) {
    const auto Found = Entry.m_Shares.find(Customer);
    if (Found != Entry.m_Shares.end() && Found->second.m_Demand <= 0.0 &&
        reserved(Found->second) <= Negligible && !Found->second.m_Pending)
      Entry.m_Shares.erase(Found);
  }
}

void replan(SharePlanner &Planner,
            const std::map<std::uint64_t, double> &Limits,
            const LimitShareOptions &Options, TimePoint Now) {
  for (auto &[Name, Entry] : Planner.m_Entries)
    dropExpired(Entry, Now);
  std::set<std::uint64_t> Customers;
  for (const auto &[Name, Entry] : Planner.m_Entries)
    for (const auto &[Customer, Share] : Entry.m_Shares)
      Customers.insert(Customer);
  for (const std::uint64_t Customer : Customers) {
    const auto Limit = Limits.find(Customer);
    const double Own = Limit == Limits.end() ? 0.0 : Limit->second;
    const Targets Planned = planTargets(Planner, Customer, Own, Options, Now);
    const double Threshold =
        isIdle(Planner, Customer, Options, Now)
            ? Negligible
            : std::max(Options.m_ChangeThreshold * Own, Negligible);
    if (needsChange(Planner, Customer, Planned, Threshold))
      changeTowards(Planner, Customer, Planned,
                    Own * (1.0 - Options.m_BaseFraction));
    removeIdle(Planner, Customer);
  }
  std::erase_if(Planner.m_LastNeeded, [&](const auto &Each) {
    return !Customers.contains(Each.first);
  });
}

bool isPlanDue(const SharePlanner &Planner, const LimitShareOptions &Options,
               TimePoint Now) {
  const Duration Interval =
      Planner.m_Urgent ? Options.m_MinInterval : Options.m_MaxInterval;
  return Now >= Planner.m_EarliestGrant && Now - Planner.m_LastPlan >= Interval;
}

} // namespace

void recordDemand(EntryShares &Shares, std::uint64_t Customer, double Tokens,
                  const LimitShareOptions &Options, TimePoint Now) {
  CustomerShare &Share = Shares.m_Customers[Customer];
  Share.m_Demand = decayed(Share.m_Demand, Now - Share.m_DemandUpdated,
                           Options.m_DemandHalfLife);
  Share.m_DemandUpdated = Now;
  // At a constant rate r the average converges to r: each token adds the rate
  // at which it decays.
  Share.m_Demand +=
      Tokens * std::log(2.0) /
      std::chrono::duration<double>(Options.m_DemandHalfLife).count();
}

double currentShare(const EntryShares &Shares, std::uint64_t Customer,
                    double Limit, const LimitShareOptions &Options,
                    TimePoint Now) {
  const double Base = baseShare(Limit, Shares.m_EntryCount, Options);
  const auto Found = Shares.m_Customers.find(Customer);
  const bool Expired = !Shares.m_LeaseEnd || Now >= *Shares.m_LeaseEnd;
  if (Expired || Found == Shares.m_Customers.end())
    return Base;
  return Base + Found->second.m_Floating;
}

ShareReport makeReport(EntryShares &Shares,
                       const std::map<std::uint64_t, double> &Limits,
                       const LimitShareOptions &Options, TimePoint Now) {
  dropExpired(Shares, Now);
  ShareReport Report{Shares.m_Entry,
                     Shares.m_Generation,
                     Now,
                     Shares.m_Term,
                     Shares.m_Applied,
                     false,
                     {}};
  for (auto At = Shares.m_Customers.begin(); At != Shares.m_Customers.end();) {
    const auto &[Customer, Share] = *At;
    const double Demand = decayed(Share.m_Demand, Now - Share.m_DemandUpdated,
                                  Options.m_DemandHalfLife);
    const auto Limit = Limits.find(Customer);
    if (Limit != Limits.end() &&
        Demand > baseShare(Limit->second, Shares.m_EntryCount, Options)) {
      Report.m_Demands.push_back({Customer, Demand});
      Report.m_Urgent |=
          Demand > currentShare(Shares, Customer, Limit->second, Options, Now);
    }
    const bool Unused = Demand < Negligible && Share.m_Floating <= 0.0;
    At = Unused ? Shares.m_Customers.erase(At) : std::next(At);
  }
  return Report;
}

void applyReply(EntryShares &Shares, const ShareReply &Reply,
                const LimitShareOptions &Options, TimePoint Now) {
  dropExpired(Shares, Now);
  const TimePoint LeaseEnd = Reply.m_ReportSentAt + Options.m_Lease;
  const bool NewTerm = Reply.m_Term > Shares.m_Term;
  if (Now >= LeaseEnd || Reply.m_Generation != Shares.m_Generation ||
      Reply.m_Term < Shares.m_Term ||
      (!NewTerm && Reply.m_Sequence <= Shares.m_Applied))
    return;
  if (NewTerm)
    for (auto &[Customer, Share] : Shares.m_Customers)
      Share.m_Floating = 0.0;
  Shares.m_Term = Reply.m_Term;
  Shares.m_Applied = Reply.m_Sequence;
  Shares.m_LeaseEnd = LeaseEnd;
  for (const ShareGrant &Grant : Reply.m_Grants)
    Shares.m_Customers[Grant.m_Customer].m_Floating = Grant.m_Floating;
}

SharePlanner startPlanner(std::uint64_t Term, std::uint32_t EntryCount,
                          const LimitShareOptions &Options, TimePoint Now) {
  SharePlanner Planner;
  Planner.m_Term = Term;
  Planner.m_EntryCount = EntryCount;
  Planner.m_EarliestGrant = Now + Options.m_Lease + Options.m_LeaseMargin;
  return Planner;
}

std::optional<ShareReply>
handleReport(SharePlanner &Planner, const ShareReport &Report,
             const std::map<std::uint64_t, double> &Limits,
             const LimitShareOptions &Options, TimePoint Now) {
  PlannedEntry &Entry = Planner.m_Entries[Report.m_Entry];
  if (Report.m_Generation < Entry.m_Generation)
    return std::nullopt;
  dropExpired(Entry, Now);
  if (Report.m_Generation > Entry.m_Generation)
    clearShares(Entry);
  Entry.m_Generation = Report.m_Generation;
  if (Report.m_Term == Planner.m_Term)
    confirm(Entry, Report.m_Applied);
  // The entry may apply this reply at any time within a lease that starts now
  // at the latest.
  Entry.m_HeldUntil = Now + Options.m_Lease + Options.m_LeaseMargin;
  for (auto &[Customer, Share] : Entry.m_Shares)
    Share.m_Demand = 0.0;
  for (const CustomerDemand &Each : Report.m_Demands)
    Entry.m_Shares[Each.m_Customer].m_Demand = Each.m_Demand;
  Planner.m_Urgent |= Report.m_Urgent;
  if (isPlanDue(Planner, Options, Now)) {
    Planner.m_LastPlan = Now;
    Planner.m_Urgent = false;
    replan(Planner, Limits, Options, Now);
  }
  ShareReply Reply{Planner.m_Term,
                   ++Entry.m_Sequence,
                   Report.m_Generation,
                   Report.m_SentAt,
                   {}};
  for (const auto &[Customer, Share] : Entry.m_Shares)
    if (Share.m_Pending)
      Reply.m_Grants.push_back({Customer, *Share.m_Pending});
  return Reply;
}

} // namespace mangocart
