// Decides which parts of prompts are kept from backend servers because they
// seem to crash every server that begins an answer on them.
//
// A crash implicates the parts of all requests whose answers the server was
// beginning. Most of them are sound and were there by chance. The evidence
// against a part is the ratio between what its presence at the crashes would be
// if it caused them, 1, and the probability that it was there by chance. A
// sound answer ends all evidence against its parts. By Ville's inequality a
// sound part reaches a ratio of R with a probability of at most 1 / R.
//
// A part is held back for a time in proportion to the ratio. Then it is on
// probation for as long again: one request at a time over all gateways, until a
// sound answer or the next crash.
#ifndef MANGOCART_ROUTING_CRASHEVIDENCE_H
#define MANGOCART_ROUTING_CRASHEVIDENCE_H

#include "Core/RuntimeClock.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mangocart {

struct CrashEvidenceOptions {
  // Parts with a lower ratio are not held back.
  double m_MinHeldRatio = 5.0;
  // Parts with this ratio or more count as convicted.
  double m_ConvictionRatio = 100.0;
  Duration m_HoldPerRatio = std::chrono::milliseconds(500);
  Duration m_MaxHold = std::chrono::minutes(10);
  // Lower bound of the probability that a part is at a crash by chance.
  double m_MinChance = 0.05;
  // The bound grows in proportion to one plus the number of recent sound
  // answers on the part, up to this number.
  double m_MaxSoundAnswers = 4.0;
  // Crashes of one service that are no further apart may have one cause, such
  // as a loss of power, and are judged together.
  Duration m_CommonCauseWindow = std::chrono::seconds(1);
  Duration m_SoundHalfLife = std::chrono::seconds(60);
  // Beyond these numbers the oldest crashes and the parts without a sound
  // answer for the longest time are forgotten.
  std::size_t m_MaxCrashes = 256;
  std::size_t m_MaxParts = 4096;

  bool operator==(const CrashEvidenceOptions &) const = default;
};

// A part of the prompts of one service's requests.
struct ServicePart {
  std::string m_Service;
  std::string m_Part;

  auto operator<=>(const ServicePart &) const = default;
};

// An implicated part, as known to the gateway that reports the crash.
struct ImplicatedPart {
  // Fraction of the service's sound answers that had the part.
  double m_SoundFraction = 0.0;
  // Recent sound answers on the part, each counted less with age.
  double m_SoundAnswers = 0.0;

  bool operator==(const ImplicatedPart &) const = default;
};

// What one gateway saw of a crash.
struct CrashReport {
  // Number of requests whose answers the server was beginning.
  std::uint32_t m_Requests = 0;
  std::map<std::string, ImplicatedPart> m_Parts;

  bool operator==(const CrashReport &) const = default;
};

// One start of a backend server; it can crash only once.
struct ServerRun {
  std::string m_BackendServer;
  std::uint64_t m_Incarnation = 0;

  auto operator<=>(const ServerRun &) const = default;
};

struct ServerCrash {
  std::string m_Service;
  // When the first gateway noticed it.
  TimePoint m_At;
  // By the name of the gateway.
  std::map<std::string, CrashReport> m_Reports;

  bool operator==(const ServerCrash &) const = default;
};

// The evidence against a part; ends with a sound answer or its probation.
struct Suspicion {
  double m_Ratio = 1.0;
  std::uint32_t m_Crashes = 0;
  TimePoint m_LastCrash;

  bool operator==(const Suspicion &) const = default;
};

// A count in which each unit is worth less with age.
struct DecayingCount {
  double m_Value = 0.0;
  TimePoint m_UpdatedAt;

  bool operator==(const DecayingCount &) const = default;
};

struct CrashEvidence {
  CrashEvidenceOptions m_Options;
  std::map<ServerRun, ServerCrash> m_Crashes;
  // When another gateway or this one last had a sound answer on a part against
  // which there was evidence.
  std::map<ServicePart, TimePoint> m_Acquittals;
  // Sound answers at this gateway.
  std::map<ServicePart, DecayingCount> m_SoundAnswers;
  std::map<std::string, DecayingCount> m_SoundByService;
  // Index of m_Crashes: the crashes that implicate a part, and the times of all
  // crashes of a service.
  std::map<ServicePart, std::set<ServerRun>> m_CrashesByPart;
  std::map<std::string, std::multiset<TimePoint>> m_CrashTimes;
};

enum class PartState {
  Free,
  // No request with the part is sent.
  Held,
  // One request at a time is sent, by one gateway.
  Probation
};

// Describes the parts for a report of this gateway about a crash.
CrashReport makeCrashReport(const CrashEvidence &Evidence,
                            const std::string &Service, std::uint32_t Requests,
                            const std::vector<std::string> &Parts,
                            TimePoint Now);

struct CrashMerge {
  // Parts that are held because of the crash.
  std::vector<ServicePart> m_Held;
  // Implicated parts on which this gateway has had a sound answer since, and
  // the time of the answer.
  std::map<ServicePart, TimePoint> m_Acquitted;
};

// Merges a gateway's report about a crash; a later report of the same gateway
// about the same crash replaces the earlier one.
CrashMerge mergeCrash(CrashEvidence &Evidence, const ServerRun &Run,
                      const ServerCrash &Crash, TimePoint Now);

// Records a sound answer on the parts. Returns those against which there was
// evidence.
std::vector<ServicePart>
recordSoundAnswer(CrashEvidence &Evidence, const std::string &Service,
                  const std::vector<std::string> &Parts, TimePoint Now);

// Merges another gateway's sound answer on a part. Returns whether it ended
// evidence against the part.
bool mergeAcquittal(CrashEvidence &Evidence, const ServicePart &Part,
                    TimePoint At, TimePoint Now);

// IsLastUnit: the service has only one server, or only one rank group, left to
// crash; the hold is twice as long then.
PartState partState(const CrashEvidence &Evidence, const ServicePart &Part,
                    bool IsLastUnit, TimePoint Now);

// Time until the part's state may change by itself; zero if it is free.
Duration timeToNextState(const CrashEvidence &Evidence, const ServicePart &Part,
                         bool IsLastUnit, TimePoint Now);

// Whether the part would be held if a server that was beginning the answers of
// this many requests, one of them with the part, had crashed.
bool wouldBeHeld(const CrashEvidence &Evidence, const ServicePart &Part,
                 std::uint32_t Requests, TimePoint Now);

// No value if there is no evidence against the part.
std::optional<Suspicion> findSuspicion(const CrashEvidence &Evidence,
                                       const ServicePart &Part);

// The crashes that implicate a part which is held or on probation.
std::set<ServerRun> crashesThatHold(const CrashEvidence &Evidence,
                                    TimePoint Now);

} // namespace mangocart

#endif
