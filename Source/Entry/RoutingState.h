// What an entry's routing remembers between requests: its own work at each
// backend server, what their prefix caches may hold, which are ejected, and
// each service's retry budget. Free functions; the directory holds the lock.
#ifndef MANGOCART_ENTRY_ROUTINGSTATE_H
#define MANGOCART_ENTRY_ROUTINGSTATE_H

#include "Core/Random.h"
#include "Entry/BackendDirectory.h"
#include "Membership/MembershipTable.h"
#include "Routing/CacheHints.h"
#include "Routing/ConcurrencyLimit.h"
#include "Routing/OutlierDetector.h"
#include "Routing/ReplicaChoice.h"
#include "Routing/RetryBudget.h"

#include <map>
#include <span>
#include <string>

namespace mangocart {

// This entry's calls in flight at one backend server.
struct OwnWork {
  std::uint32_t m_Requests = 0;
  std::uint64_t m_Tokens = 0;
};

// What another entry has in flight, by hash64() of the backend server's name.
struct OthersWork {
  std::map<std::uint64_t, std::uint32_t> m_Requests;
  TimePoint m_Heard;
};

struct ServiceRouting {
  OutlierDetector m_OutlierDetector;
  ReplicaChoiceState m_Choice;
  RetryBudget m_Retries;
  ConcurrencyLimit m_ConcurrencyLimit;
  // Running mean of the tokens that a request is estimated at.
  double m_MeanTokens = 1.0;
};

struct RoutingTable {
  std::string m_AvailabilityZone;
  std::uint32_t m_EntryCount = 1;
  std::map<std::string, OwnWork, std::less<>> m_Own;
  std::map<std::string, ServiceRouting, std::less<>> m_Services;
  // By the name of the entry; empty where entries don't exchange their loads.
  std::map<std::string, OthersWork> m_Others;
  CacheHints m_Hints;
  Random m_Random;
};

// The service's own part, made when it is first asked for.
ServiceRouting &routingOf(RoutingTable &Table, std::string_view Service);

std::uint32_t ownRequests(const RoutingTable &Table,
                          std::string_view BackendServer);

// Takes in what another entry has in flight.
void noteOthersWork(RoutingTable &Table, const std::string &Entry,
                    OthersWork Work);

// Index of the candidate that the request goes to.
std::optional<std::size_t>
chooseCandidate(RoutingTable &Table, std::span<const CandidateView> Candidates,
                const ChoiceRequest &Request, TimePoint Now);

// Requests that this entry may have at work at the candidates: what it has, and
// the places that are free to it by the last reports.
std::size_t countPlaces(RoutingTable &Table,
                        std::span<const CandidateView> Candidates,
                        const ChoiceRequest &Request, TimePoint Now);

void noteCallStarted(RoutingTable &Table, const BackendTarget &Target,
                     const CallSize &Size, TimePoint Now);
void noteCallProgress(RoutingTable &Table, const BackendTarget &Target,
                      TimePoint Now);
void noteCallEnded(RoutingTable &Table, const BackendTarget &Target,
                   const CallSize &Size, const CallReport &Report,
                   TimePoint Now);

struct EjectionReport {
  std::string m_Service;
  EjectionChange m_Change;
};

// Ejections and returns since the last call; to be called every second or so.
std::vector<EjectionReport> judgeServers(RoutingTable &Table, TimePoint Now);

} // namespace mangocart

#endif
