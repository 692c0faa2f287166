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
  // With few requests, the excess over the declared time says little about the
  // time per request, because a slow machine lengthens each pass by a factor.
  const double Fixed = fixedPassMs(Passes.m_Rules.m_Figures);
  const double Load =
      std::min(1.0, Passes.m_MeanRequests / std::max(1U, Passes.m_Slots));
  const double Factor =
      Passes.m_MeanMs / std::max(1.0, Fixed + Passes.m_MeanRequests * Declared);
  const double Excess =
      (Passes.m_MeanMs - Fixed) / std::max({1.0, Passes.m_MeanRequests});
  return std::max(0.0, Load * Excess + (1.0 - Load) * Factor * Declared);
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
  Passes.m_LastChoice = Now;
  return Passes;
}

void removeOldEnds(const GroupCapacityOptions &Options, GroupPasses &Passes,
                   TimePoint Now) {
  while (!Passes.m_RecentEnds.empty() &&
         Now - Passes.m_RecentEnds.front() > Options.m_CountAge)
    Passes.m_RecentEnds.pop_front();
}

// Prompts that fit into the next pass with the requests of the group.
double promptsPerPass(const GroupCapacityOptions &Options,
                      const GroupPasses &Passes, double Requests,
                      TimePoint Now) {
  const PassFigures &Figures = Passes.m_Rules.m_Figures;
  const double Declared = passMsPerGroupRequest(Figures, Passes.m_Ranks);
  const double Factor =
      Declared > 0.0
          ? std::max(1.0, msPerRequest(Options, Passes, Now) / Declared)
          : 1.0;
  const double PromptMs = Factor *
                          prefillMs(Figures, Figures.m_MeanPromptTokens) /
                          std::max(1U, Passes.m_Ranks);
  if (PromptMs <= 0.0)
    return Passes.m_Slots;
  const double LeftMs = Passes.m_Rules.m_GapTargetMs -
                        expectedPassMs(Options, Passes, Requests, Now);
  return Requests / passesPerRequest(Figures) +
         std::max(0.0, LeftMs) / PromptMs;
}

void refill(double &Allowance, double Part, double Fraction) {
  // A part below one request is saved up.
  Allowance = std::min(std::max(Part, 1.0), Allowance + Part * Fraction);
}

void refillAllowances(const GroupCapacityOptions &Options, GroupPasses &Passes,
                      double Free, double Requests, std::uint32_t Gateways,
                      TimePoint Now) {
  const double ElapsedMs = toMs(Now - Passes.m_AllowanceAt);
  Passes.m_AllowanceAt = Now;
  refill(Passes.m_Allowance,
         Options.m_FreePartFactor * std::max(Free, 0.0) / Gateways,
         ElapsedMs / toMs(Options.m_CountAge));
  refill(Passes.m_StartAllowance,
         Options.m_StartFactor *
             promptsPerPass(Options, Passes, Requests, Now) / Gateways,
         ElapsedMs /
             std::max(1.0, expectedPassMs(Options, Passes, Requests, Now)));
}

bool areCountsKnown(const GatewayCounts &Counts) {
  return Counts.m_Gateways <= 1 || Counts.m_OthersReported;
}

bool mayTake(const GroupCapacityOptions &Options, GroupPasses &Passes,
             const GroupLoad &Load, const GatewayCounts &Counts,
             TimePoint Now) {
  const std::uint32_t Gateways = std::max<std::uint32_t>(Counts.m_Gateways, 1);
  const double Free = static_cast<double>(Passes.m_Limit) -
                      static_cast<double>(Passes.m_Requests);
  refillAllowances(Options, Passes, Free, Passes.m_Requests, Gateways, Now);
  removeOldEnds(Options, Passes, Now);
  const bool HasShare =
      Load.m_OwnRequests < (Passes.m_Limit + Gateways - 1) / Gateways;
  // Without reports, the slots of each server are divided among the gateways,
  // and the number of requests isn't known well enough for a part of the pass.
  if (!areCountsKnown(Counts))
    return HasShare || Passes.m_Limit >= Load.m_Slots;
  if (!Passes.m_OverTarget && Passes.m_StartAllowance < 1.0)
    return false;
  if (HasShare)
    return true;
  if (Free <= 0.0)
    return false;
  return Gateways == 1 || !Passes.m_RecentEnds.empty() ||
         Passes.m_Allowance >= 1.0;
}

struct RankedGroup {
  std::size_t m_Index = 0;
  bool m_OverTarget = false;
  double m_ExpectedMs = 0.0;
};

// Removes the groups to try next and returns their indices: those with ranks in
// the own zone, if their passes are short enough, otherwise all equivalent
// ones.
std::vector<std::size_t> takePreferred(const GroupCapacityOptions &Options,
                                       std::span<const GroupLoad> Groups,
                                       std::vector<RankedGroup> &Ranked) {
  const RankedGroup First = Ranked.front();
  const auto IsWithin = [&](const RankedGroup &Each, double Ratio) {
    return Each.m_OverTarget == First.m_OverTarget &&
           Each.m_ExpectedMs <= Ratio * First.m_ExpectedMs;
  };
  const auto IsNear = [&](const RankedGroup &Each) {
    return Groups[Each.m_Index].m_HasRankInOwnZone &&
           IsWithin(Each, Options.m_OwnZoneRatio);
  };
  const bool HasNear = std::any_of(Ranked.begin(), Ranked.end(), IsNear);
  std::vector<std::size_t> Taken;
  std::erase_if(Ranked, [&](const RankedGroup &Each) {
    const bool IsTaken =
        HasNear ? IsNear(Each) : IsWithin(Each, Options.m_EquivalentRatio);
    if (IsTaken)
      Taken.push_back(Each.m_Index);
    return IsTaken;
  });
  return Taken;
}

} // namespace

std::uint32_t estimatedRequests(const GroupLoad &Load,
                                const GatewayCounts &Counts) {
  return areCountsKnown(Counts) ? Load.m_Requests
                                : Load.m_OwnRequests * Counts.m_Gateways;
}

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
  GroupPasses &Passes = Found->second;
  removeOldEnds(Capacity.m_Options, Passes, Now);
  if (!Passes.m_RecentEnds.empty())
    Passes.m_RecentEnds.pop_front();
  else
    Passes.m_Allowance = std::max(0.0, Passes.m_Allowance - 1.0);
  Passes.m_StartAllowance = std::max(0.0, Passes.m_StartAllowance - 1.0);
}

void recordGroupEnd(GroupCapacity &Capacity, std::string_view Group,
                    TimePoint Now) {
  const auto Found = Capacity.m_Groups.find(Group);
  if (Found == Capacity.m_Groups.end())
    return;
  removeOldEnds(Capacity.m_Options, Found->second, Now);
  Found->second.m_RecentEnds.push_back(Now);
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
    Passes.m_Requests = estimatedRequests(Load, Counts);
    updateOverTarget(Options, Passes, Now);
    Passes.m_Limit = requestLimit(Options, Passes, Now);
    // An estimate that changes with a single own request would move all further
    // ones to another group; the mean pass time doesn't.
    const double Requests = areCountsKnown(Counts) ? Passes.m_Requests + 1.0
                                                   : Passes.m_MeanRequests;
    Passes.m_ExpectedMs = expectedPassMs(Options, Passes, Requests, Now);
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
    Order.push_back(takePreferred(Options, Groups, Ranked));
  return Order;
}

std::size_t freeRequests(const GroupCapacity &Capacity, const GroupLoad &Load) {
  const auto Found = Capacity.m_Groups.find(Load.m_Group);
  const std::uint32_t Limit =
      Found != Capacity.m_Groups.end() ? Found->second.m_Limit : Load.m_Slots;
  return Limit - std::min(Limit, Load.m_Requests);
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
                         Passes.m_ExpectedMs, Passes.m_Rules.m_GapTargetMs});
  }
  return Changes;
}

} // namespace mangocart
