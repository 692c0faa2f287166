// Routing state of an entry that persists between requests: its in-flight calls
// per backend server, expected prefix cache contents, ejected servers, and the
// retry budget of each service. Not synchronized; MembershipDirectory holds the
// lock.
#ifndef MANGOCART_ENTRY_ROUTINGSTATE_H
#define MANGOCART_ENTRY_ROUTINGSTATE_H

#include "Core/Random.h"
#include "Entry/BackendDirectory.h"
#include "Membership/MembershipTable.h"
#include "Routing/CacheHints.h"
#include "Routing/ColdAllowance.h"
#include "Routing/ConcurrencyLimit.h"
#include "Routing/GroupCapacity.h"
#include "Routing/OutlierDetector.h"
#include "Routing/PrefillSpread.h"
#include "Routing/ReplicaChoice.h"
#include "Routing/RetryBudget.h"
#include "Routing/ServerNotices.h"

#include <map>
#include <span>
#include <string>
#include <unordered_map>

namespace mangocart {

// In-flight calls of this entry at one backend server.
struct OwnCalls {
  std::uint32_t m_Requests = 0;
  std::uint64_t m_Tokens = 0;
};

// In-flight calls of another entry, by hash64() of the backend server's name.
struct OutstandingCalls {
  std::map<std::uint64_t, std::uint32_t> m_Requests;
  PromptTokensByServer m_PendingPromptTokens;
  TimePoint m_Heard;
};

struct ServiceRouting {
  OutlierDetector m_OutlierDetector;
  ReplicaChoiceState m_Choice;
  RetryBudget m_Retries;
  ConcurrencyLimit m_ConcurrencyLimit;
  // Moving average of the estimated tokens per request.
  double m_MeanTokens = 1.0;
};

struct RoutingState {
  std::string m_AvailabilityZone;
  std::uint32_t m_EntryCount = 1;
  std::map<std::string, OwnCalls, std::less<>> m_OwnCalls;
  // Prompt tokens of these calls whose answers have not begun.
  PromptTokensByServer m_OwnPendingPromptTokens;
  std::map<std::string, ServiceRouting, std::less<>> m_Services;
  // By the name of the entry; empty if entries do not exchange their loads.
  std::map<std::string, OutstandingCalls> m_OtherEntries;
  // Sum of the requests of m_OtherEntries by server. A choice needs it for each
  // candidate, and there are dozens of entries.
  std::unordered_map<std::uint64_t, std::uint32_t> m_OtherRequests;
  CacheHints m_Hints;
  // For the spread of prompts; set together with the list of gateways.
  GatewayPosition m_GatewayPosition;
  // Empty if backend servers say nothing of themselves in their answers.
  ServerNotices m_Notices;
  // Without rates if no service has a cold rate.
  ColdAllowance m_Cold;
  // Choices that found no server while an allowance excluded one.
  std::uint64_t m_HeldByAllowance = 0;
  GroupCapacity m_GroupCapacity;
  Random m_Random;
};

// State of the service, created on first use.
ServiceRouting &routingOf(RoutingState &State, std::string_view Service);

// What the allowances of cold servers need to know of each candidate; empty if
// no service has a cold rate.
std::vector<ColdQuery> coldQueries(const RoutingState &State,
                                   std::span<const CandidateView> Candidates,
                                   TimePoint Now);

std::uint32_t ownRequests(const RoutingState &State,
                          std::string_view BackendServer);

// Replaces the in-flight calls known of another entry.
void updateOtherEntry(RoutingState &State, const std::string &Entry,
                      OutstandingCalls Calls);
// Removes entries that have been silent for so long that they are considered to
// have failed, and their calls with them.
void removeSilentEntries(RoutingState &State, TimePoint Now);
// Number of in-flight calls of other entries at the server, by hash64() of its
// name; empty if no entry has reported recently.
std::optional<std::uint32_t> otherEntriesRequests(const RoutingState &State,
                                                  std::uint64_t Server);

// Returns the index of the selected candidate. Groups: see groupLoads(); only
// used if the request has pass rules.
std::optional<std::size_t>
chooseCandidate(RoutingState &State, std::span<const CandidateView> Candidates,
                const ChoiceRequest &Request, TimePoint Now,
                std::span<const GroupLoad> Groups = {});

// Maximum number of in-flight requests of this entry at the candidates: its
// current calls, and the slots available to it according to the last reports.
std::size_t countSlots(RoutingState &State,
                       std::span<const CandidateView> Candidates,
                       const ChoiceRequest &Request, TimePoint Now);

// What a service can take beyond its in-flight requests.
struct FreeCapacity {
  // Over all servers that aren't full, ejected or suspect.
  std::size_t m_Requests = 0;
  // Number of entries that share it.
  std::uint32_t m_Entries = 1;

  bool operator==(const FreeCapacity &) const = default;
};

FreeCapacity freeCapacity(RoutingState &State,
                          std::span<const CandidateView> Candidates,
                          const ChoiceRequest &Request, TimePoint Now,
                          std::span<const GroupLoad> Groups = {});

void recordCallStarted(RoutingState &State, const BackendTarget &Target,
                       const CallSize &Size, TimePoint Now);
// Records the first data of the answer to a call; to be called once per call.
void recordAnswerBegan(RoutingState &State, const BackendTarget &Target,
                       const CallSize &Size);
void recordCallProgress(RoutingState &State, const BackendTarget &Target,
                        TimePoint Now);
void recordCallEnded(RoutingState &State, const BackendTarget &Target,
                     const CallSize &Size, const CallReport &Report,
                     TimePoint Now);

struct ServiceEjectionChange {
  std::string m_Service;
  EjectionChange m_Change;
};

// Ejects outliers and reinstates servers; returns the changes. Call it about
// every second.
std::vector<ServiceEjectionChange> updateAllEjections(RoutingState &State,
                                                      TimePoint Now);

} // namespace mangocart

#endif
