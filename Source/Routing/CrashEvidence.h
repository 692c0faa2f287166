// Decides which requests are kept from backend servers because something about
// them seems to crash every server that begins an answer: a suspect, which is a
// part of their prompts or a whole request that comes again.
//
// A crash implicates the suspects of all requests whose answers the server was
// beginning. Most of them are sound and were there by chance. The evidence
// against a suspect is the ratio between what its presence at the crashes would
// be if it caused them, 1, and the probability that it was there by chance. A
// sound answer ends all evidence against the suspects of its request. By
// Ville's inequality a sound suspect reaches a ratio of R with a probability of
// at most 1 / R.
//
// Requests with a suspect are held back for a time in proportion to the ratio.
// Then it is on probation for as long again: one request at a time over all
// gateways, until a sound answer or the next crash.
#ifndef MANGOCART_ROUTING_CRASHEVIDENCE_H
#define MANGOCART_ROUTING_CRASHEVIDENCE_H

#include "Core/RuntimeClock.h"
#include "Routing/RecentRequests.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mangocart {

// How the evidence against suspects of one kind is judged.
struct SuspectKindOptions {
  // From this ratio on the suspect is on probation, from the other one on it is
  // held first.
  double m_MinProbationRatio = 5.0;
  double m_MinHeldRatio = 5.0;
  // Lower bounds of the probability that a suspect is at a crash by chance: at
  // the first one that counts against it, and at others.
  double m_MinFirstChance = 0.05;
  double m_MinChance = 0.05;
  // The probability that a suspect which was at one of several crashes with a
  // common cause was at others of them, too. Without a value each one counts.
  std::optional<double> m_CommonCauseChance;
  // The fraction of sound answers that a suspect is taken to be in before there
  // are any, and the number of answers that this counts as.
  double m_PriorFraction = 0.5;
  double m_PriorAnswers = 2.0;
  // Evidence is kept for so long after a crash, or until the probation ends.
  Duration m_MinMemory = Duration::zero();

  bool operator==(const SuspectKindOptions &) const = default;
};

struct CrashEvidenceOptions {
  SuspectKindOptions m_PromptParts;
  // Nearly all requests at a crash are seen for the first time and sound, and
  // one that is held can't be sent to another server after the crash. So one
  // crash alone changes nothing, and several at once only lead to probation.
  SuspectKindOptions m_Requests = {.m_MinProbationRatio = 5.0,
                                   .m_MinHeldRatio = 20.0,
                                   .m_MinFirstChance = 0.25,
                                   .m_MinChance = 0.05,
                                   .m_CommonCauseChance = 0.5,
                                   .m_PriorFraction = 0.1,
                                   .m_PriorAnswers = 1.0,
                                   .m_MinMemory = std::chrono::minutes(10)};
  // Suspects with this ratio or more count as convicted.
  double m_ConvictionRatio = 100.0;
  Duration m_HoldPerRatio = std::chrono::milliseconds(500);
  Duration m_MaxHold = std::chrono::minutes(10);
  // The lower bounds of probabilities grow in proportion to one plus the number
  // of recent sound answers on the suspect, up to this number.
  double m_MaxSoundAnswers = 4.0;
  // Crashes of one service that are no further apart may have one cause, such
  // as a loss of power, and are judged together.
  Duration m_CommonCauseWindow = std::chrono::seconds(1);
  Duration m_SoundHalfLife = std::chrono::seconds(60);
  // Beyond these numbers the oldest crashes and the suspects without a sound
  // answer for the longest time are forgotten.
  std::size_t m_MaxCrashes = 256;
  std::size_t m_MaxSuspects = 4096;
  // The latest sound requests of a service by which the fraction of a request
  // among them is estimated.
  std::size_t m_MaxRecentRequests = 512;

  bool operator==(const CrashEvidenceOptions &) const = default;
};

enum class SuspectKind {
  // A part of prompts, by its ID.
  PromptPart,
  // A whole request, by its digest.
  Request
};

// As in logs.
std::string_view toString(SuspectKind Kind);

struct SuspectId {
  SuspectKind m_Kind = SuspectKind::PromptPart;
  std::string m_Text;

  auto operator<=>(const SuspectId &) const = default;
};

// "KIND:ID", as in logs.
std::string toString(const SuspectId &Id);

// What may crash the servers of one service.
struct Suspect {
  std::string m_Service;
  SuspectId m_Id;

  auto operator<=>(const Suspect &) const = default;
};

// An implicated suspect, as known to the gateway that reports the crash.
struct ImplicatedSuspect {
  // Fraction of the service's sound answers whose requests had the suspect.
  double m_SoundFraction = 0.0;
  // Recent sound answers on it, each counted less with age.
  double m_SoundAnswers = 0.0;

  bool operator==(const ImplicatedSuspect &) const = default;
};

// What one gateway saw of a crash.
struct CrashReport {
  // Number of requests whose answers the server was beginning.
  std::uint32_t m_Requests = 0;
  std::map<SuspectId, ImplicatedSuspect> m_Suspects;

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

// The evidence against a suspect; ends with a sound answer or its probation.
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
  // When another gateway or this one last had a sound answer on a suspect
  // against which there was evidence.
  std::map<Suspect, TimePoint> m_Acquittals;
  // Sound answers at this gateway on parts of prompts.
  std::map<Suspect, DecayingCount> m_SoundAnswers;
  // Sound requests at this gateway, by service.
  std::map<std::string, RecentRequests> m_RecentRequests;
  std::map<std::string, DecayingCount> m_SoundByService;
  // Index of m_Crashes: the crashes that implicate a suspect, and the times of
  // all crashes of a service.
  std::map<Suspect, std::set<ServerRun>> m_CrashesBySuspect;
  std::map<std::string, std::multiset<TimePoint>> m_CrashTimes;
};

enum class SuspectState {
  Free,
  // No request with the suspect is sent.
  Held,
  // One request at a time is sent, by one gateway.
  Probation
};

// As in logs.
std::string_view toString(SuspectState State);

// Describes the suspects for a report of this gateway about a crash.
CrashReport makeCrashReport(const CrashEvidence &Evidence,
                            const std::string &Service, std::uint32_t Requests,
                            const std::vector<SuspectId> &Ids, TimePoint Now);

struct CrashMerge {
  // Suspects that are held or on probation because of the crash.
  std::map<Suspect, SuspectState> m_Restricted;
  // Implicated suspects on which this gateway has had a sound answer since,
  // and the time of the answer.
  std::map<Suspect, TimePoint> m_Acquitted;
};

// Merges a gateway's report about a crash; a later report of the same gateway
// about the same crash replaces the earlier one.
CrashMerge mergeCrash(CrashEvidence &Evidence, const ServerRun &Run,
                      const ServerCrash &Crash, TimePoint Now);

// Records a sound answer to a request with these suspects. Returns those
// against which there was evidence.
std::vector<Suspect> recordSoundAnswer(CrashEvidence &Evidence,
                                       const std::string &Service,
                                       const std::vector<SuspectId> &Ids,
                                       TimePoint Now);

// Merges another gateway's sound answer. Returns whether it ended evidence
// against the suspect.
bool mergeAcquittal(CrashEvidence &Evidence, const Suspect &Of, TimePoint At,
                    TimePoint Now);

// IsLastUnit: the service has only one server, or only one rank group, left to
// crash; the hold is twice as long then.
SuspectState suspectState(const CrashEvidence &Evidence, const Suspect &Of,
                          bool IsLastUnit, TimePoint Now);

// Time until the suspect's state may change by itself; zero if it is free.
Duration timeToNextState(const CrashEvidence &Evidence, const Suspect &Of,
                         bool IsLastUnit, TimePoint Now);

// Whether the suspect might be held or on probation if a server that was
// beginning the answers of this many requests, one of them with the suspect,
// had crashed.
bool mayBecomeRestricted(const CrashEvidence &Evidence, const Suspect &Of,
                         std::uint32_t Requests, TimePoint Now);

// No value if there is no evidence against the suspect.
std::optional<Suspicion> findSuspicion(const CrashEvidence &Evidence,
                                       const Suspect &Of);

// The servers whose crashes implicate the suspect.
std::vector<std::string> implicatingServers(const CrashEvidence &Evidence,
                                            const Suspect &Of);

// Whether the crash may still count as evidence.
bool isRemembered(const CrashEvidence &Evidence, const ServerCrash &Crash,
                  TimePoint Now);

// The crashes that implicate a suspect which is held or on probation.
std::set<ServerRun> crashesThatHold(const CrashEvidence &Evidence,
                                    TimePoint Now);

} // namespace mangocart

#endif
