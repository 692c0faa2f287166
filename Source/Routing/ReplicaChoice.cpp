#include "Routing/ReplicaChoice.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <utility>
#include <vector>

namespace mangocart {

namespace {

constexpr std::array<std::pair<RoutingPolicy, std::string_view>, 4> PolicyNames{
    {{RoutingPolicy::Score, "score"},
     {RoutingPolicy::RoundRobin, "round-robin"},
     {RoutingPolicy::LeastOutstanding, "least-outstanding"},
     {RoutingPolicy::Random, "random"}}};

// An older load report is not used to decide whether a server is full.
constexpr Duration MaxReportAge = std::chrono::seconds(3);

using Indices = std::vector<std::size_t>;

// Keeps the indices that satisfy the predicate, unless none does.
template <class Test> void keepPreferred(Indices &Usable, Test &&Predicate) {
  Indices Kept;
  Kept.reserve(Usable.size());
  std::copy_if(Usable.begin(), Usable.end(), std::back_inserter(Kept),
               Predicate);
  if (!Kept.empty())
    Usable = std::move(Kept);
}

Indices usableCandidates(std::span<const ReplicaCandidate> Candidates,
                         const RoutedRequest &Request) {
  Indices Usable;
  Usable.reserve(Candidates.size());
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index)
    if (!Candidates[Index].m_Full)
      Usable.push_back(Index);
  keepPreferred(Usable, [&](std::size_t Index) {
    return !Candidates[Index].m_Ejected && !Candidates[Index].m_Suspect;
  });
  if (Request.m_AvoidBackendServer)
    keepPreferred(Usable, [&](std::size_t Index) {
      return Candidates[Index].m_BackendServer != *Request.m_AvoidBackendServer;
    });
  if (Request.m_AvoidZone)
    keepPreferred(Usable, [&](std::size_t Index) {
      return Candidates[Index].m_AvailabilityZone != *Request.m_AvoidZone;
    });
  return Usable;
}

// The splitmix64 finalizer, applied to the combination of prefix and server.
std::uint64_t rendezvousWeight(std::uint64_t Prefix, std::uint64_t Server) {
  std::uint64_t Mixed = Prefix ^ (Server * 0x9e3779b97f4a7c15ULL);
  Mixed = (Mixed ^ (Mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Mixed = (Mixed ^ (Mixed >> 27)) * 0x94d049bb133111ebULL;
  return Mixed ^ (Mixed >> 31);
}

// Expected work until the request is complete, in generated tokens; the lowest
// score wins.
double score(const ReplicaCandidate &Candidate, const RoutedRequest &Request,
             const ReplicaChoiceOptions &Options, bool AffinityChoice) {
  double Cached = static_cast<double>(Candidate.m_CachedTokens);
  const auto Prefix = static_cast<double>(Request.m_PrefixTokens);
  if (AffinityChoice)
    Cached = std::max(Cached, Options.m_AffinityCacheFraction * Prefix);
  double Work = expectedLoad(Candidate, Options) + Options.m_TokensPerRequest +
                static_cast<double>(Request.m_EstimatedTokens);
  if (Candidate.m_AvailabilityZone != Request.m_AvailabilityZone)
    Work += Options.m_CrossZonePenaltyTokens;
  // Only the positive part is divided by the traffic share: a smaller share
  // must not increase the cache credit.
  return Work / std::max(Candidate.m_TrafficShare, 0.01) -
         Options.m_CachedTokenWeight * std::min(Cached, Prefix);
}

std::size_t chooseByScore(std::span<const ReplicaCandidate> Candidates,
                          const Indices &Usable, const RoutedRequest &Request,
                          const ReplicaChoiceOptions &Options,
                          Random &Generator) {
  std::optional<std::size_t> AffinityChoice;
  if (Request.m_PrefixHash != 0)
    AffinityChoice = affinityReplica(Candidates, Usable, Request, Options);
  std::optional<std::size_t> Best = AffinityChoice;
  double BestScore = AffinityChoice ? score(Candidates[*AffinityChoice],
                                            Request, Options, true)
                                    : 0.0;
  for (std::size_t Sample = 0;
       Sample < std::max<std::size_t>(Options.m_SampleSize, 1); ++Sample) {
    const std::size_t Index = Usable[uniform(Generator, 0, Usable.size() - 1)];
    const double Own =
        score(Candidates[Index], Request, Options, AffinityChoice == Index);
    if (!Best || Own < BestScore) {
      Best = Index;
      BestScore = Own;
    }
  }
  return *Best;
}

std::uint64_t knownRequests(const ReplicaCandidate &Candidate) {
  const std::uint64_t Own = Candidate.m_OutstandingRequests;
  if (Candidate.m_OtherEntriesRequests)
    return Own + *Candidate.m_OtherEntriesRequests;
  constexpr double Max = std::numeric_limits<std::uint32_t>::max();
  return std::max(Own, static_cast<std::uint64_t>(std::min(
                           std::max(0.0, Candidate.m_ReportedRequests), Max)));
}

// A server whose traffic ramps up after an ejection is considered for its share
// of the requests only.
std::size_t chooseBySpread(std::span<const ReplicaCandidate> Candidates,
                           Indices Usable, const RoutedRequest &Request,
                           const ReplicaChoiceOptions &Options,
                           Random &Generator) {
  keepPreferred(Usable, [&](std::size_t Index) {
    const double Share = Candidates[Index].m_TrafficShare;
    return Share >= 1.0 || uniformReal(Generator) < Share;
  });
  std::vector<PrefillRank> Ranks;
  Ranks.reserve(Usable.size());
  for (const std::size_t Index : Usable)
    Ranks.push_back({Candidates[Index].m_PendingPromptTokens,
                     knownRequests(Candidates[Index])});
  const PrefillRequest Prompt{Request.m_PrefixTokens,
                              Options.m_PrefillTokensPerPass,
                              Options.m_Gateway};
  return Usable[chooseRank(Ranks, Prompt, Generator)];
}

} // namespace

std::optional<RoutingPolicy> parseRoutingPolicy(std::string_view Name) {
  for (const auto &[Policy, Text] : PolicyNames)
    if (Text == Name)
      return Policy;
  return std::nullopt;
}

std::string_view toString(RoutingPolicy Policy) {
  for (const auto &[Each, Text] : PolicyNames)
    if (Each == Policy)
      return Text;
  return "unknown";
}

bool isFull(const ReplicaCandidate &Candidate, std::uint32_t MaxOutstanding,
            std::uint32_t EntryCount) {
  const std::uint32_t Own = Candidate.m_OutstandingRequests;
  if (Candidate.m_OtherEntriesRequests)
    return Own + *Candidate.m_OtherEntriesRequests >= MaxOutstanding;
  const std::uint32_t EntryPart =
      (MaxOutstanding + EntryCount - 1) / EntryCount;
  if (Own < EntryPart)
    return false;
  return Own >= 2 * EntryPart || Candidate.m_ReportAge > MaxReportAge ||
         Candidate.m_ReportedRequests + EntryCount > MaxOutstanding + 1;
}

double expectedLoad(const ReplicaCandidate &Candidate,
                    const ReplicaChoiceOptions &Options) {
  const auto OwnTokens = static_cast<double>(Candidate.m_OutstandingTokens);
  const auto OwnRequests = static_cast<double>(Candidate.m_OutstandingRequests);
  const double Own = OwnTokens + Options.m_TokensPerRequest * OwnRequests;
  if (Candidate.m_OtherEntriesRequests)
    return Own + Options.m_TokensPerRequest *
                     static_cast<double>(*Candidate.m_OtherEntriesRequests);
  const double Others =
      std::max(0.0, Candidate.m_ReportedTokens - OwnTokens) +
      Options.m_TokensPerRequest *
          std::max(0.0, Candidate.m_ReportedRequests - OwnRequests);
  const double HalfLives =
      std::chrono::duration<double>(Candidate.m_ReportAge) /
      std::chrono::duration<double>(Options.m_ReportHalfLife);
  return Own + Others * std::exp2(-std::max(HalfLives, 0.0));
}

std::optional<std::size_t>
affinityReplica(std::span<const ReplicaCandidate> Candidates,
                std::span<const std::size_t> Usable,
                const RoutedRequest &Request,
                const ReplicaChoiceOptions &Options) {
  double Total = static_cast<double>(Request.m_EstimatedTokens);
  for (const std::size_t Index : Usable)
    Total += expectedLoad(Candidates[Index], Options);
  const double Bound =
      Options.m_LoadBound * Total / static_cast<double>(Usable.size());
  std::optional<std::size_t> Best;
  std::uint64_t BestWeight = 0;
  for (const std::size_t Index : Usable) {
    if (expectedLoad(Candidates[Index], Options) > Bound)
      continue;
    const std::uint64_t Weight = rendezvousWeight(
        Request.m_PrefixHash, Candidates[Index].m_BackendServer);
    if (!Best || Weight > BestWeight) {
      Best = Index;
      BestWeight = Weight;
    }
  }
  return Best;
}

std::optional<std::size_t>
chooseReplica(std::span<const ReplicaCandidate> Candidates,
              const RoutedRequest &Request, const ReplicaChoiceOptions &Options,
              ReplicaChoiceState &State, Random &Generator) {
  const Indices Usable = usableCandidates(Candidates, Request);
  if (Usable.empty())
    return std::nullopt;
  if (Options.m_PrefillTokensPerPass > 0)
    return chooseBySpread(Candidates, Usable, Request, Options, Generator);
  switch (Options.m_Policy) {
  case RoutingPolicy::Score:
    return chooseByScore(Candidates, Usable, Request, Options, Generator);
  case RoutingPolicy::RoundRobin:
    return Usable[State.m_NextIndex++ % Usable.size()];
  case RoutingPolicy::LeastOutstanding:
    return *std::min_element(Usable.begin(), Usable.end(),
                             [&](std::size_t Left, std::size_t Right) {
                               return Candidates[Left].m_OutstandingRequests <
                                      Candidates[Right].m_OutstandingRequests;
                             });
  case RoutingPolicy::Random:
    return Usable[uniform(Generator, 0, Usable.size() - 1)];
  }
  return std::nullopt;
}

} // namespace mangocart
