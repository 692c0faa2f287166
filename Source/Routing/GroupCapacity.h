// Limits the requests of a rank group by the time of its passes. A pass longer
// than the target for gaps between events makes all streams of the group late
// at once, so a group may be full before its request slots are used.
//
// The expected time of a pass is a linear function of the requests in the
// group. It begins with the declared figures and is corrected by the gaps
// between events of the gateway's own streams, so it includes expert skew,
// prefill, slow machines and weight copies.
#ifndef MANGOCART_ROUTING_GROUPCAPACITY_H
#define MANGOCART_ROUTING_GROUPCAPACITY_H

#include "Core/RuntimeClock.h"
#include "Routing/PassTime.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mangocart {

struct GroupCapacityOptions {
  // Weights of a new pass in the moving averages.
  double m_MeanWeight = 0.1;
  double m_DeviationWeight = 0.05;
  // A request is taken while the expected pass time and this many mean
  // deviations are below the target.
  double m_Deviations = 2.0;
  // A gap below this fraction of the fixed time of a pass isn't a pass: a
  // connection delivered several events together.
  double m_MinGapFraction = 0.5;
  // A gap of at least this time and this many mean passes is a stall.
  double m_MinStallMs = 350.0;
  double m_MinStallPasses = 4.0;
  // An observation is used for this time after the last pass.
  Duration m_MaxAge = std::chrono::seconds(10);
  // If passes exceed the target even at this fraction of the slots, the group
  // isn't limited, as no limit can meet the target without leaving more
  // capacity idle than late streams cost.
  double m_MinLimitFraction = 0.5;
  // A group whose passes exceeded the target at that fraction is limited again
  // below this fraction of the target.
  double m_LimitAgainFraction = 0.9;
  // Within this ratio of the lowest expected pass time, groups with ranks in
  // the gateway's own zone are preferred; 0: never. Each zone has its peak at
  // another time, so a preference makes the passes of its group longer then.
  double m_OwnZoneRatio = 0.0;
  // Within this ratio, groups are equivalent otherwise. With a ratio near 1,
  // all gateways would send to one group until its new requests are reported.
  double m_EquivalentRatio = 100.0;
  // Counts of other gateways are about this old. Each gateway takes at most
  // this multiple of its even part of the free capacity within that time, and
  // replaces its own ended requests. The default is no bound in effect: a
  // factor of 1.5 left capacity idle while calls waited.
  Duration m_CountAge = std::chrono::milliseconds(200);
  double m_FreePartFactor = 1e6;
  // In each pass, a gateway starts at most this multiple of its even part of
  // the prompts that fit into a pass on target. The default is no bound in
  // effect, for the same reason.
  double m_StartFactor = 1e6;
  // A group is reported as no longer limited after this time without a limit.
  Duration m_UnlimitedAfter = std::chrono::seconds(5);
  // Groups that no choice has considered for this time are removed.
  Duration m_KeepUnused = std::chrono::minutes(1);

  bool operator==(const GroupCapacityOptions &) const = default;
};

// A rank group and its requests as a gateway knows them.
struct GroupLoad {
  std::string_view m_Group;
  // Incremented whenever the group is formed.
  std::uint64_t m_Epoch = 0;
  std::uint32_t m_Ranks = 0;
  // Sum over the ranks.
  std::uint32_t m_Slots = 0;
  // Outstanding requests of all gateways, and of this one.
  std::uint32_t m_Requests = 0;
  std::uint32_t m_OwnRequests = 0;
  bool m_HasRankInOwnZone = false;

  bool operator==(const GroupLoad &) const = default;
};

// Gaps of one group.
struct GroupPasses {
  PassRules m_Rules;
  std::uint64_t m_Epoch = 0;
  std::uint32_t m_Ranks = 0;
  std::uint32_t m_Slots = 0;
  // Gaps of the current pass, one for each own stream, and their first time.
  std::vector<double> m_GapsMs;
  TimePoint m_PassBegan;
  // Number of observed passes; the averages are valid if it isn't 0.
  std::uint64_t m_Count = 0;
  double m_MeanMs = 0.0;
  double m_MeanRequests = 0.0;
  double m_MeanDeviationMs = 0.0;
  TimePoint m_LastPass;
  // Own requests that ended within m_CountAge and weren't replaced.
  std::deque<TimePoint> m_RecentEnds;
  // Requests that the gateway may add to the group, as of a time.
  double m_Allowance = 0.0;
  // Requests that it may start at all, replacements included.
  double m_StartAllowance = 0.0;
  TimePoint m_AllowanceAt;
  // The target can't be met at m_MinLimitFraction of the slots.
  bool m_OverTarget = false;
  // The last choice among groups with this one, and its figures for metrics.
  TimePoint m_LastChoice;
  std::uint32_t m_Requests = 0;
  std::uint32_t m_Limit = 0;
  double m_ExpectedMs = 0.0;
  // Reported state and the last time at which the limit was below the slots.
  bool m_ReportedLimited = false;
  TimePoint m_LastLimited;

  bool operator==(const GroupPasses &) const = default;
};

struct GroupCapacity {
  GroupCapacityOptions m_Options;
  // By group name; only groups of services with pass rules.
  std::map<std::string, GroupPasses, std::less<>> m_Groups;

  bool operator==(const GroupCapacity &) const = default;
};

// What this gateway knows of the others.
struct GatewayCounts {
  std::uint32_t m_Gateways = 1;
  // Whether any other gateway has reported its requests recently.
  bool m_OthersReported = false;

  bool operator==(const GatewayCounts &) const = default;
};

// Requests in the group. While other gateways report none, each is assumed to
// have as many as this one.
std::uint32_t estimatedRequests(const GroupLoad &Load,
                                const GatewayCounts &Counts);

// Records the time between two events of an own stream of the group. Requests
// returns estimatedRequests(); it is called at most once a pass.
void recordGap(GroupCapacity &Capacity, std::string_view Group, Duration Gap,
               const std::function<std::uint32_t()> &Requests, TimePoint Now);
// Record that a request was sent to a rank of the group, and its end.
void recordGroupStart(GroupCapacity &Capacity, std::string_view Group,
                      TimePoint Now);
void recordGroupEnd(GroupCapacity &Capacity, std::string_view Group,
                    TimePoint Now);

// Expected duration of a pass with the requests, without deviations.
double expectedPassMs(const GroupCapacityOptions &Options,
                      const GroupPasses &Passes, double Requests,
                      TimePoint Now);
// Maximum number of requests in the group, at most its slots.
std::uint32_t requestLimit(const GroupCapacityOptions &Options,
                           const GroupPasses &Passes, TimePoint Now);

// The groups that should get the next request, in order of preference: each
// inner list holds indices of equivalent groups. Groups at their limit are
// missing.
std::vector<std::vector<std::size_t>>
preferredGroups(GroupCapacity &Capacity, const PassRules &Rules,
                std::span<const GroupLoad> Groups, const GatewayCounts &Counts,
                TimePoint Now);

// Further requests that the group takes below the limit of the last choice; its
// free slots if there was none.
std::size_t freeRequests(const GroupCapacity &Capacity, const GroupLoad &Load);

struct GroupLimitChange {
  std::string m_Group;
  bool m_IsLimited = false;
  std::uint32_t m_Limit = 0;
  std::uint32_t m_Slots = 0;
  double m_ExpectedMs = 0.0;
  double m_TargetMs = 0.0;

  bool operator==(const GroupLimitChange &) const = default;
};

// Returns the groups whose limit fell below their slots or is back at them, and
// removes groups that weren't used for a long time. Call it several times a
// second.
std::vector<GroupLimitChange> updateGroupLimits(GroupCapacity &Capacity,
                                                TimePoint Now);

} // namespace mangocart

#endif
