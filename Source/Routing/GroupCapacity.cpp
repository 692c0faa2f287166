// Expected pass times, limits of groups and the choice among groups.
#include "Routing/GroupCapacity.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mangocart {

namespace {

double toMs(Duration Of) {
  return std::chrono::duration<double, std::milli>(Of).count();
}

void forgetPasses(GroupPasses &Passes) {
  Passes.m_GapsMs.clear();
  Passes.m_Count = 0;
  Passes.m_MeanMs = 0.0;
  Passes.m_MeanRequests = 0.0;
  Passes.m_MeanDeviationMs = 0.0;
}

bool hasPasses(const GroupCapacityOptions &Options, const GroupPasses &Passes,
               TimePoint Now) {
  return Passes.m_Count > 0 && Now - Passes.m_LastPass <= Options.m_MaxAge;
}

// Of the gaps of one pass, some include a delay of their connection.
double takeMedian(std::vector<double> &Gaps) {
  const auto Middle =
      Gaps.begin() + static_cast<std::ptrdiff_t>(Gaps.size() / 2);
  std::nth_element(Gaps.begin(), Middle, Gaps.end());
  const double Median = *Middle;
  Gaps.clear();
  return Median;
}

// The first passes are averaged with equal weights.
double weightOf(double Weight, std::uint64_t Count) {
  return std::max(Weight, 1.0 / static_cast<double>(Count));
}

// Time that a further request adds to a pass.
double msPerRequest(const GroupCapacityOptions &Options,
                    const GroupPasses &Passes, TimePoint Now) {
  const double Declared =
      passMsPerGroupRequest(Passes.m_Rules.m_Figures, Passes.m_Ranks);
  if (!hasPasses(Options, Passes, Now))
    return Declared;
  const double Excess = Passes.m_MeanMs - fixedPassMs(Passes.m_Rules.m_Figures);
  const double MinRequests =
      std::max(1.0, Options.m_MinLoadFraction * Passes.m_Slots);
  const double Missing = std::max(0.0, MinRequests - Passes.m_MeanRequests);
  return std::max(0.0, (Excess + Missing * Declared) /
                           (Passes.m_MeanRequests + Missing));
}

void recordPass(const GroupCapacityOptions &Options, GroupPasses &Passes,
                double Requests, TimePoint Now) {
  const double Observed = takeMedian(Passes.m_GapsMs);
  const bool IsFirst = !hasPasses(Options, Passes, Now);
  if (IsFirst)
    forgetPasses(Passes);
  const double Expected =
      IsFirst ? Observed : expectedPassMs(Options, Passes, Requests, Now);
  ++Passes.m_Count;
  const double Mean = weightOf(Options.m_MeanWeight, Passes.m_Count);
  Passes.m_MeanMs += Mean * (Observed - Passes.m_MeanMs);
  Passes.m_MeanRequests += Mean * (Requests - Passes.m_MeanRequests);
  Passes.m_MeanDeviationMs +=
      weightOf(Options.m_DeviationWeight, Passes.m_Count) *
      (std::abs(Observed - Expected) - Passes.m_MeanDeviationMs);
  Passes.m_LastPass = Now;
}

void updateOverTarget(const GroupCapacityOptions &Options, GroupPasses &Passes,
                      TimePoint Now) {
  const double AtMinLimit = expectedPassMs(
      Options, Passes, Options.m_MinLimitFraction * Passes.m_Slots, Now);
  const double Target = Passes.m_Rules.m_GapTargetMs;
  Passes.m_OverTarget =
      AtMinLimit >
      (Passes.m_OverTarget ? Options.m_LimitAgainFraction * Target : Target);
}

GroupPasses &passesOf(GroupCapacity &Capacity, const PassRules &Rules,
                      const GroupLoad &Load, TimePoint Now) {
  auto Found = Capacity.m_Groups.find(Load.m_Group);
  if (Found == Capacity.m_Groups.end())
    Found = Capacity.m_Groups.try_emplace(std::string(Load.m_Group)).first;
  GroupPasses &Passes = Found->second;
  if (Passes.m_Epoch != Load.m_Epoch)
    forgetPasses(Passes);
  Passes.m_Epoch = Load.m_Epoch;
  Passes.m_Rules = Rules;
  Passes.m_Ranks = Load.m_Ranks;
  Passes.m_Slots = Load.m_Slots;
  Passes.m_Requests = Load.m_Requests;
  Passes.m_LastChoice = Now;
  return Passes;
}

void removeOldStarts(const GroupCapacityOptions &Options, GroupPasses &Passes,
                     TimePoint Now) {
  while (!Passes.m_RecentStarts.empty() &&
         Now - Passes.m_RecentStarts.front() > Options.m_CountAge)
    Passes.m_RecentStarts.pop_front();
}

bool mayTake(const GroupCapacityOptions &Options, GroupPasses &Passes,
             const GroupLoad &Load, const GatewayCounts &Counts,
             TimePoint Now) {
  if (Passes.m_Limit >= Load.m_Slots)
    return true;
  const std::uint32_t Gateways = std::max<std::uint32_t>(Counts.m_Gateways, 1);
  if (Load.m_OwnRequests < (Passes.m_Limit + Gateways - 1) / Gateways)
    return true;
  if (Load.m_Requests >= Passes.m_Limit ||
      (Gateways > 1 && !Counts.m_OthersReported))
    return false;
  removeOldStarts(Options, Passes, Now);
  const double FreePart =
      static_cast<double>(Passes.m_Limit - Load.m_Requests) / Gateways;
  return static_cast<double>(Passes.m_RecentStarts.size()) <
         std::ceil(Options.m_FreePartFactor * FreePart);
}

struct RankedGroup {
  std::size_t m_Index = 0;
  bool m_OverTarget = false;
  double m_ExpectedMs = 0.0;
};

// Removes the groups equivalent to the first one and returns their indices,
// those with ranks in the own zone first.
void takeEquivalent(std::vector<RankedGroup> &Ranked,
                    std::span<const GroupLoad> Groups, double Ratio,
                    std::vector<std::vector<std::size_t>> &Order) {
  const RankedGroup First = Ranked.front();
  const auto End =
      std::find_if(Ranked.begin(), Ranked.end(), [&](const RankedGroup &Each) {
        return Each.m_OverTarget != First.m_OverTarget ||
               Each.m_ExpectedMs > Ratio * First.m_ExpectedMs;
      });
  std::vector<std::size_t> Own;
  std::vector<std::size_t> Others;
  std::for_each(Ranked.begin(), End, [&](const RankedGroup &Each) {
    (Groups[Each.m_Index].m_HasRankInOwnZone ? Own : Others)
        .push_back(Each.m_Index);
  });
  Ranked.erase(Ranked.begin(), End);
  for (auto *Each : {&Own, &Others})
    if (!Each->empty())
      Order.push_back(std::move(*Each));
}

} // namespace

void recordGap(GroupCapacity &Capacity, std::string_view Group, Duration Gap,
               const std::function<std::uint32_t()> &Requests, TimePoint Now) {
  const auto Found = Capacity.m_Groups.find(Group);
  if (Found == Capacity.m_Groups.end())
    return;
  const GroupCapacityOptions &Options = Capacity.m_Options;
  GroupPasses &Passes = Found->second;
  const double GapMs = toMs(Gap);
  const double MinGapMs =
      Options.m_MinGapFraction * fixedPassMs(Passes.m_Rules.m_Figures);
  if (GapMs < MinGapMs)
    return;
  if (GapMs >= std::max(Options.m_MinStallMs,
                        Options.m_MinStallPasses * Passes.m_MeanMs)) {
    // While other streams of the group continued, only this one stalled.
    if (Now - Passes.m_PassBegan >= Gap / 2)
      forgetPasses(Passes);
    return;
  }
  if (!Passes.m_GapsMs.empty() &&
      toMs(Now - Passes.m_PassBegan) >= std::max(MinGapMs, 1.0))
    recordPass(Options, Passes, Requests(), Now);
  if (Passes.m_GapsMs.empty())
    Passes.m_PassBegan = Now;
  Passes.m_GapsMs.push_back(GapMs);
}

void recordGroupStart(GroupCapacity &Capacity, std::string_view Group,
                      TimePoint Now) {
  const auto Found = Capacity.m_Groups.find(Group);
  if (Found == Capacity.m_Groups.end())
    return;
  removeOldStarts(Capacity.m_Options, Found->second, Now);
  Found->second.m_RecentStarts.push_back(Now);
}

double expectedPassMs(const GroupCapacityOptions &Options,
                      const GroupPasses &Passes, double Requests,
                      TimePoint Now) {
  const double PerRequest = msPerRequest(Options, Passes, Now);
  if (!hasPasses(Options, Passes, Now))
    return fixedPassMs(Passes.m_Rules.m_Figures) + Requests * PerRequest;
  return Passes.m_MeanMs + (Requests - Passes.m_MeanRequests) * PerRequest;
}

std::uint32_t requestLimit(const GroupCapacityOptions &Options,
                           const GroupPasses &Passes, TimePoint Now) {
  const double PerRequest = msPerRequest(Options, Passes, Now);
  if (Passes.m_OverTarget || PerRequest <= 0.0)
    return Passes.m_Slots;
  double Left =
      Passes.m_Rules.m_GapTargetMs - expectedPassMs(Options, Passes, 0.0, Now);
  if (hasPasses(Options, Passes, Now))
    Left -= Options.m_Deviations * Passes.m_MeanDeviationMs;
  return static_cast<std::uint32_t>(std::clamp<double>(
      std::floor(Left / PerRequest),
      std::ceil(Options.m_MinLimitFraction * Passes.m_Slots), Passes.m_Slots));
}

std::vector<std::vector<std::size_t>>
preferredGroups(GroupCapacity &Capacity, const PassRules &Rules,
                std::span<const GroupLoad> Groups, const GatewayCounts &Counts,
                TimePoint Now) {
  const GroupCapacityOptions &Options = Capacity.m_Options;
  std::vector<RankedGroup> Ranked;
  for (std::size_t Index = 0; Index < Groups.size(); ++Index) {
    const GroupLoad &Load = Groups[Index];
    GroupPasses &Passes = passesOf(Capacity, Rules, Load, Now);
    updateOverTarget(Options, Passes, Now);
    Passes.m_Limit = requestLimit(Options, Passes, Now);
    Passes.m_ExpectedMs =
        expectedPassMs(Options, Passes, Load.m_Requests + 1.0, Now);
    if (Passes.m_Limit < Passes.m_Slots)
      Passes.m_LastLimited = Now;
    if (mayTake(Options, Passes, Load, Counts, Now))
      Ranked.push_back({Index, Passes.m_OverTarget, Passes.m_ExpectedMs});
  }
  std::sort(Ranked.begin(), Ranked.end(),
            [](const RankedGroup &A, const RankedGroup &B) {
              return std::pair(A.m_OverTarget, A.m_ExpectedMs) <
                     std::pair(B.m_OverTarget, B.m_ExpectedMs);
            });
  std::vector<std::vector<std::size_t>> Order;
  while (!Ranked.empty())
    takeEquivalent(Ranked, Groups, Options.m_EquivalentRatio, Order);
  return Order;
}

std::vector<GroupLimitChange> updateGroupLimits(GroupCapacity &Capacity,
                                                TimePoint Now) {
  const GroupCapacityOptions &Options = Capacity.m_Options;
  std::vector<GroupLimitChange> Changes;
  std::erase_if(Capacity.m_Groups, [&](const auto &Each) {
    return Now - Each.second.m_LastChoice > Options.m_KeepUnused;
  });
  for (auto &[Group, Passes] : Capacity.m_Groups) {
    const bool IsLimited =
        Passes.m_LastLimited != TimePoint() &&
        Now - Passes.m_LastLimited < Options.m_UnlimitedAfter;
    if (IsLimited != std::exchange(Passes.m_ReportedLimited, IsLimited))
      Changes.push_back({Group, IsLimited, Passes.m_Limit, Passes.m_Slots,
                         Passes.m_ExpectedMs});
  }
  return Changes;
}

} // namespace mangocart
