// Chooses the backend server for a request. Pure decisions over plain structs:
// the caller fills in the candidates from its own tables and passes a seeded
// generator.
#ifndef MANGOCART_ROUTING_REPLICACHOICE_H
#define MANGOCART_ROUTING_REPLICACHOICE_H

#include "Core/Random.h"
#include "Core/RuntimeClock.h"

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
  // hash64() of the backend server's name; places it for affinity.
  std::uint64_t m_BackendServer = 0;
  // Index of its availability zone.
  std::uint32_t m_AvailabilityZone = 0;
  // What this entry has sent and has no answer to.
  std::uint32_t m_OutstandingRequests = 0;
  std::uint64_t m_OutstandingTokens = 0;
  // Outstanding requests and tokens of all entries by the last report.
  double m_ReportedRequests = 0.0;
  double m_ReportedTokens = 0.0;
  Duration m_ReportAge = Duration::zero();
  // What the other entries have there by their own word a moment ago. Set: the
  // reported figures aren't used.
  std::optional<std::uint32_t> m_OthersRequests;
  // Tokens of the request's prefix that its cache is expected to hold.
  std::uint64_t m_CachedTokens = 0;
  // Share of a healthy server's work that it should get, in (0, 1]; below 1
  // while it comes back after an ejection.
  double m_Share = 1.0;
  // This entry may send it nothing more; never chosen.
  bool m_Full = false;
  bool m_Suspect = false;
  bool m_Ejected = false;

  bool operator==(const ReplicaCandidate &) const = default;
};

struct RoutedRequest {
  // Hash of the prompt's shared prefix; 0: no affinity.
  std::uint64_t m_PrefixHash = 0;
  std::uint64_t m_PrefixTokens = 0;
  std::uint64_t m_EstimatedTokens = 0;
  // Availability zone of this entry.
  std::uint32_t m_AvailabilityZone = 0;
  // Availability zone and backend server in which an attempt just failed.
  std::optional<std::uint32_t> m_AvoidZone;
  std::optional<std::uint64_t> m_AvoidBackendServer;

  bool operator==(const RoutedRequest &) const = default;
};

struct ReplicaChoiceOptions {
  RoutingPolicy m_Policy = RoutingPolicy::Score;
  // Candidates drawn at random and compared.
  std::size_t m_Draws = 2;
  // What an outstanding request counts besides its tokens: it holds a place in
  // the engine's batch whatever its length, which is known only roughly.
  double m_RequestTokens = 1000.0;
  // A report of this age counts half.
  Duration m_ReportHalfLife = std::chrono::milliseconds(100);
  // Tokens that another availability zone is worse by.
  double m_OtherZoneTokens = 20.0;
  // The server that affinity names is passed over while its load is more than
  // this many times the mean.
  double m_LoadBound = 1.0;
  // Share of the prefix that the server named by affinity is expected to hold
  // when no cache event says so.
  double m_HomeCacheShare = 0.5;
  // A cached prompt token saves this share of the work of a generated one.
  double m_CachedTokenWeight = 1.0;

  bool operator==(const ReplicaChoiceOptions &) const = default;
};

// Carried from choice to choice by round-robin.
struct ReplicaChoiceState {
  std::uint64_t m_Turn = 0;

  bool operator==(const ReplicaChoiceState &) const = default;
};

// Whether the candidate should get nothing more from this entry, for m_Full:
// the outstanding requests of all entries reach the bound of the service, or
// the entry's own reach twice its part of it (reports are late, and entries
// that see the same free places take them together). When reports stop, the
// entry keeps to its part. What waits at the entry can still be ordered, moved
// and refused; what waits at a replica can't.
bool isFull(const ReplicaCandidate &Candidate, std::uint32_t MaxOutstanding,
            std::uint32_t EntryCount);

// Work before a new request at the candidate, in tokens: own outstanding work
// and what others are reported to have there, discounted by the report's age.
double expectedLoad(const ReplicaCandidate &Candidate,
                    const ReplicaChoiceOptions &Options);

// Index of the candidate, or none when every candidate is full. Ejected and
// suspect servers, and the zone and server to avoid, are passed over as long as
// others are left; if every server is ejected or suspect, the observer is more
// likely at fault than all of them, and all are used.
std::optional<std::size_t>
chooseReplica(std::span<const ReplicaCandidate> Candidates,
              const RoutedRequest &Request, const ReplicaChoiceOptions &Options,
              ReplicaChoiceState &State, Random &Generator);

// The candidate that affinity names: the highest rendezvous hash of prefix and
// backend server among those whose load is within the bound. Of n servers, one
// that leaves or joins moves about 1/n of the prefixes.
std::optional<std::size_t>
affinityReplica(std::span<const ReplicaCandidate> Candidates,
                std::span<const std::size_t> Usable,
                const RoutedRequest &Request,
                const ReplicaChoiceOptions &Options);

} // namespace mangocart

#endif
