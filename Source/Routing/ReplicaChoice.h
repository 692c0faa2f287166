// Selects the backend server for a request. Pure functions over plain structs:
// the caller fills in the candidates from its own tables and passes a seeded
// random generator.
#ifndef MANGOCART_ROUTING_REPLICACHOICE_H
#define MANGOCART_ROUTING_REPLICACHOICE_H

#include "Core/Random.h"
#include "Core/RuntimeClock.h"
#include "Routing/PrefillSpread.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace mangocart {

enum class RoutingPolicy { Score, RoundRobin, LeastOutstanding, Random };

// "score", "round-robin", "least-outstanding" or "random".
std::optional<RoutingPolicy> parseRoutingPolicy(std::string_view Name);
std::string_view toString(RoutingPolicy Policy);

struct ReplicaCandidate {
  // hash64() of the backend server's name; input of the rendezvous hash.
  std::uint64_t m_BackendServer = 0;
  // Index of its availability zone.
  std::uint32_t m_AvailabilityZone = 0;
  // Outstanding requests and tokens of this entry.
  std::uint32_t m_OutstandingRequests = 0;
  std::uint64_t m_OutstandingTokens = 0;
  // Outstanding requests and tokens of all entries as of the last load report.
  double m_ReportedRequests = 0.0;
  double m_ReportedTokens = 0.0;
  Duration m_ReportAge = Duration::zero();
  // Outstanding requests of the other entries as they announced them recently.
  // If set, the load report is ignored.
  std::optional<std::uint32_t> m_OtherEntriesRequests;
  // Prompt tokens of requests of all entries at the server whose answers have
  // not begun. Used by the spread of prompts only.
  std::uint64_t m_PendingPromptTokens = 0;
  // Tokens of the request's prefix expected in the server's cache.
  std::uint64_t m_CachedTokens = 0;
  // Fraction of a healthy server's traffic that it should get, in (0, 1]; below
  // 1 while traffic ramps up after an ejection.
  double m_TrafficShare = 1.0;
  // The server is at its concurrency limit; never selected.
  bool m_Full = false;
  bool m_Suspect = false;
  bool m_Ejected = false;

  bool operator==(const ReplicaCandidate &) const = default;
};

struct RoutedRequest {
  // Hash of the prompt's shared prefix; 0 for no affinity.
  std::uint64_t m_PrefixHash = 0;
  std::uint64_t m_PrefixTokens = 0;
  std::uint64_t m_EstimatedTokens = 0;
  // Availability zone of this entry.
  std::uint32_t m_AvailabilityZone = 0;
  // Availability zone and backend server of the attempt that just failed.
  std::optional<std::uint32_t> m_AvoidZone;
  std::optional<std::uint64_t> m_AvoidBackendServer;

  bool operator==(const RoutedRequest &) const = default;
};

struct ReplicaChoiceOptions {
  RoutingPolicy m_Policy = RoutingPolicy::Score;
  // Number of candidates sampled at random and compared.
  std::size_t m_SampleSize = 2;
  // Cost of an outstanding request in addition to its tokens: it occupies a
  // slot of the engine's batch whatever its length, and its length is only an
  // estimate.
  double m_TokensPerRequest = 1000.0;
  // A load report loses half of its weight in this time.
  Duration m_ReportHalfLife = std::chrono::milliseconds(100);
  // Score penalty, in tokens, of a server in another availability zone.
  double m_CrossZonePenaltyTokens = 20.0;
  // A server is eligible for affinity while its load is at most this many times
  // the mean.
  double m_LoadBound = 1.0;
  // Fraction of the prefix assumed to be cached at the server selected by
  // affinity without a cache event for it.
  double m_AffinityCacheFraction = 0.5;
  // Work saved by a cached prompt token, as a fraction of the work of a
  // generated token.
  double m_CachedTokenWeight = 1.0;
  // Prompt tokens that a server prefills in a pass; if set, prompts are spread
  // by pending prompt tokens (PrefillSpread) instead of the policy.
  std::uint64_t m_PrefillTokensPerPass = 0;
  GatewayPosition m_Gateway;

  bool operator==(const ReplicaChoiceOptions &) const = default;
};

// State of the round-robin policy.
struct ReplicaChoiceState {
  std::uint64_t m_NextIndex = 0;

  bool operator==(const ReplicaChoiceState &) const = default;
};

// Whether this entry should not send more requests to the candidate, for
// m_Full: the outstanding requests of all entries reach the service's limit, or
// those of this entry reach twice its part of the limit (load reports are
// delayed, so entries that see the same free slots use them simultaneously).
// Without recent reports, the entry keeps to its part of the limit. A request
// queued at the entry can still be reordered, sent elsewhere or rejected; a
// request queued at a replica cannot.
bool isFull(const ReplicaCandidate &Candidate, std::uint32_t MaxOutstanding,
            std::uint32_t EntryCount);

// Outstanding work at the candidate in tokens: that of this entry, and that
// reported for others, discounted by the age of the report.
double expectedLoad(const ReplicaCandidate &Candidate,
                    const ReplicaChoiceOptions &Options);

// Returns the index of the selected candidate; empty if every candidate is
// full. Ejected and suspect servers, and the zone and server to avoid, are
// skipped as long as others remain. If every server is ejected or suspect, the
// observer is more likely at fault than all servers, and all of them are
// considered.
std::optional<std::size_t>
chooseReplica(std::span<const ReplicaCandidate> Candidates,
              const RoutedRequest &Request, const ReplicaChoiceOptions &Options,
              ReplicaChoiceState &State, Random &Generator);

// Selects the candidate by affinity: the highest rendezvous hash of prefix and
// backend server among those whose load is within the bound. When one of n
// servers leaves or joins, about 1/n of the prefixes move.
std::optional<std::size_t>
affinityReplica(std::span<const ReplicaCandidate> Candidates,
                std::span<const std::size_t> Usable,
                const RoutedRequest &Request,
                const ReplicaChoiceOptions &Options);

} // namespace mangocart

#endif
