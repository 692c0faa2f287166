// Likelihood ratios, holds and probation.
#include "Routing/CrashEvidence.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>

namespace mangocart {

namespace {

// The hold, the longer hold of a last unit, and the probation after them.
constexpr int LastUnitFactor = 2;
constexpr int ProbationEndFactor = 3;

double valueAt(const DecayingCount &Count, const CrashEvidenceOptions &Options,
               TimePoint Now) {
  const double HalfLives =
      std::chrono::duration<double>(Now - Count.m_UpdatedAt) /
      std::chrono::duration<double>(Options.m_SoundHalfLife);
  return Count.m_Value * std::exp2(-std::max(HalfLives, 0.0));
}

template <class Key>
double valueOf(const std::map<Key, DecayingCount> &Counts, const Key &Of,
               const CrashEvidenceOptions &Options, TimePoint Now) {
  const auto Found = Counts.find(Of);
  return Found == Counts.end() ? 0.0 : valueAt(Found->second, Options, Now);
}

void increment(DecayingCount &Count, const CrashEvidenceOptions &Options,
               TimePoint Now) {
  Count = {valueAt(Count, Options, Now) + 1.0, Now};
}

ImplicatedSuspect describe(const CrashEvidence &Evidence, const Suspect &Of,
                           TimePoint Now) {
  const CrashEvidenceOptions &Options = Evidence.m_Options;
  const double Answers = valueOf(Evidence.m_SoundAnswers, Of, Options, Now);
  const double All =
      valueOf(Evidence.m_SoundByService, Of.m_Service, Options, Now);
  // Rule of succession: without any answers a suspect may be in all requests.
  return {(Answers + 1.0) / (All + 2.0), Answers};
}

// Upper bound of the probability that a sound suspect is among the requests.
double chanceOf(const ImplicatedSuspect &Known, std::uint32_t Requests,
                const CrashEvidenceOptions &Options) {
  const double Among =
      1.0 - std::pow(1.0 - std::clamp(Known.m_SoundFraction, 0.0, 1.0),
                     std::max<std::uint32_t>(Requests, 1));
  const double Answers =
      std::min(Known.m_SoundAnswers, Options.m_MaxSoundAnswers);
  return std::min(1.0, std::max(Options.m_MinChance * (1.0 + Answers), Among));
}

// The same for the requests that all gateways have reported; no value if none
// of them had the suspect.
std::optional<double> chanceAt(const ServerCrash &Crash, const SuspectId &Id,
                               const CrashEvidenceOptions &Options) {
  std::uint32_t Requests = 0;
  std::optional<ImplicatedSuspect> Known;
  for (const auto &[Gateway, Report] : Crash.m_Reports) {
    Requests += Report.m_Requests;
    const auto Found = Report.m_Suspects.find(Id);
    if (Found == Report.m_Suspects.end())
      continue;
    if (!Known)
      Known = ImplicatedSuspect();
    Known->m_SoundFraction =
        std::max(Known->m_SoundFraction, Found->second.m_SoundFraction);
    Known->m_SoundAnswers =
        std::max(Known->m_SoundAnswers, Found->second.m_SoundAnswers);
  }
  if (!Known)
    return std::nullopt;
  return chanceOf(*Known, Requests, Options);
}

double binomial(std::size_t Of, std::size_t Chosen) {
  double Ways = 1.0;
  for (std::size_t I = 0; I < Chosen; ++I)
    Ways *= static_cast<double>(Of - I) / static_cast<double>(I + 1);
  return Ways;
}

// The crashes of a service that may have one cause with the one at this time.
struct CommonCause {
  std::size_t m_Crashes = 0;
  TimePoint m_Last;
};

CommonCause commonCause(const CrashEvidence &Evidence,
                        const std::string &Service, TimePoint At) {
  const Duration Window = Evidence.m_Options.m_CommonCauseWindow;
  const std::multiset<TimePoint> &Times = Evidence.m_CrashTimes.at(Service);
  CommonCause Found{1, At};
  TimePoint First = At;
  const auto Here = Times.find(At);
  for (auto Each = std::make_reverse_iterator(Here);
       Each != Times.rend() && First - *Each <= Window; ++Each) {
    First = *Each;
    ++Found.m_Crashes;
  }
  for (auto Each = std::next(Here);
       Each != Times.end() && *Each - Found.m_Last <= Window; ++Each) {
    Found.m_Last = *Each;
    ++Found.m_Crashes;
  }
  return Found;
}

Duration holdOf(double Ratio, const CrashEvidenceOptions &Options) {
  const auto Seconds = std::chrono::duration<double>(Options.m_HoldPerRatio);
  const auto Max = std::chrono::duration<double>(Options.m_MaxHold);
  return std::chrono::duration_cast<Duration>(std::min(Seconds * Ratio, Max));
}

bool isOver(const Suspicion &Held, const CrashEvidenceOptions &Options,
            TimePoint Now) {
  return Now - Held.m_LastCrash >
         ProbationEndFactor * holdOf(Held.m_Ratio, Options);
}

// When the last sound answer on the suspect is known to have come.
std::optional<TimePoint> acquittedAt(const CrashEvidence &Evidence,
                                     const Suspect &Of) {
  std::optional<TimePoint> Latest;
  if (const auto Found = Evidence.m_Acquittals.find(Of);
      Found != Evidence.m_Acquittals.end())
    Latest = Found->second;
  if (const auto Found = Evidence.m_SoundAnswers.find(Of);
      Found != Evidence.m_SoundAnswers.end())
    Latest = std::max(Latest, std::optional(Found->second.m_UpdatedAt));
  return Latest;
}

void removeFromIndex(CrashEvidence &Evidence, const ServerRun &Run,
                     const ServerCrash &Crash) {
  auto &Times = Evidence.m_CrashTimes[Crash.m_Service];
  Times.erase(Times.find(Crash.m_At));
  if (Times.empty())
    Evidence.m_CrashTimes.erase(Crash.m_Service);
  for (const auto &[Gateway, Report] : Crash.m_Reports)
    for (const auto &[Id, Known] : Report.m_Suspects) {
      const auto Found =
          Evidence.m_CrashesBySuspect.find({Crash.m_Service, Id});
      if (Found != Evidence.m_CrashesBySuspect.end() &&
          Found->second.erase(Run) > 0 && Found->second.empty())
        Evidence.m_CrashesBySuspect.erase(Found);
    }
}

void addToIndex(CrashEvidence &Evidence, const ServerRun &Run,
                const ServerCrash &Crash) {
  Evidence.m_CrashTimes[Crash.m_Service].insert(Crash.m_At);
  for (const auto &[Gateway, Report] : Crash.m_Reports)
    for (const auto &[Id, Known] : Report.m_Suspects)
      Evidence.m_CrashesBySuspect[{Crash.m_Service, Id}].insert(Run);
}

void dropOldestCrash(CrashEvidence &Evidence) {
  const auto Oldest =
      std::min_element(Evidence.m_Crashes.begin(), Evidence.m_Crashes.end(),
                       [](const auto &A, const auto &B) {
                         return A.second.m_At < B.second.m_At;
                       });
  removeFromIndex(Evidence, Oldest->first, Oldest->second);
  Evidence.m_Crashes.erase(Oldest);
}

void dropOldestCount(std::map<Suspect, DecayingCount> &Counts) {
  Counts.erase(std::min_element(
      Counts.begin(), Counts.end(), [](const auto &A, const auto &B) {
        return A.second.m_UpdatedAt < B.second.m_UpdatedAt;
      }));
}

void storeAcquittal(CrashEvidence &Evidence, const Suspect &Of, TimePoint At) {
  auto &Acquittals = Evidence.m_Acquittals;
  TimePoint &Latest = Acquittals[Of];
  Latest = std::max(Latest, At);
  if (Acquittals.size() > Evidence.m_Options.m_MaxSuspects)
    Acquittals.erase(std::min_element(
        Acquittals.begin(), Acquittals.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; }));
}

} // namespace

std::string_view toString(SuspectKind Kind) {
  switch (Kind) {
  case SuspectKind::PromptPart:
    break;
  }
  return "prompt-part";
}

CrashReport makeCrashReport(const CrashEvidence &Evidence,
                            const std::string &Service, std::uint32_t Requests,
                            const std::vector<SuspectId> &Ids, TimePoint Now) {
  CrashReport Report;
  Report.m_Requests = Requests;
  for (const SuspectId &Id : Ids)
    Report.m_Suspects[Id] = describe(Evidence, {Service, Id}, Now);
  return Report;
}

CrashMerge mergeCrash(CrashEvidence &Evidence, const ServerRun &Run,
                      const ServerCrash &Crash, TimePoint Now) {
  std::set<SuspectId> Ids;
  for (const auto &[Gateway, Report] : Crash.m_Reports)
    for (const auto &[Id, Described] : Report.m_Suspects)
      Ids.insert(Id);
  std::map<SuspectId, std::optional<Suspicion>> Before;
  for (const SuspectId &Id : Ids)
    Before[Id] = findSuspicion(Evidence, {Crash.m_Service, Id});
  ServerCrash Known = Crash;
  if (const auto Found = Evidence.m_Crashes.find(Run);
      Found != Evidence.m_Crashes.end()) {
    removeFromIndex(Evidence, Run, Found->second);
    Known = std::move(Found->second);
    Known.m_At = std::min(Known.m_At, Crash.m_At);
    for (const auto &[Gateway, Report] : Crash.m_Reports)
      Known.m_Reports[Gateway] = Report;
  }
  addToIndex(Evidence, Run, Known);
  const TimePoint At = Known.m_At;
  Evidence.m_Crashes[Run] = std::move(Known);
  if (Evidence.m_Crashes.size() > Evidence.m_Options.m_MaxCrashes)
    dropOldestCrash(Evidence);
  CrashMerge Merged;
  for (const SuspectId &Id : Ids) {
    const Suspect Each{Crash.m_Service, Id};
    const auto Sound = Evidence.m_SoundAnswers.find(Each);
    if (Sound != Evidence.m_SoundAnswers.end() &&
        Sound->second.m_UpdatedAt >= At) {
      Merged.m_Acquitted[Each] = Sound->second.m_UpdatedAt;
      storeAcquittal(Evidence, Each, Sound->second.m_UpdatedAt);
    }
    if (findSuspicion(Evidence, Each) != Before[Id] &&
        suspectState(Evidence, Each, false, Now) == SuspectState::Held)
      Merged.m_Held.push_back(Each);
  }
  return Merged;
}

std::vector<Suspect> recordSoundAnswer(CrashEvidence &Evidence,
                                       const std::string &Service,
                                       const std::vector<SuspectId> &Ids,
                                       TimePoint Now) {
  const CrashEvidenceOptions &Options = Evidence.m_Options;
  increment(Evidence.m_SoundByService[Service], Options, Now);
  std::vector<Suspect> Acquitted;
  for (const SuspectId &Id : Ids) {
    const Suspect Each{Service, Id};
    if (mergeAcquittal(Evidence, Each, Now, Now))
      Acquitted.push_back(Each);
    increment(Evidence.m_SoundAnswers[Each], Options, Now);
    if (Evidence.m_SoundAnswers.size() > Options.m_MaxSuspects)
      dropOldestCount(Evidence.m_SoundAnswers);
  }
  return Acquitted;
}

bool mergeAcquittal(CrashEvidence &Evidence, const Suspect &Of, TimePoint At,
                    TimePoint Now) {
  const auto Before = findSuspicion(Evidence, Of);
  if (!Before || isOver(*Before, Evidence.m_Options, Now))
    return false;
  storeAcquittal(Evidence, Of, At);
  return findSuspicion(Evidence, Of) != Before;
}

SuspectState suspectState(const CrashEvidence &Evidence, const Suspect &Of,
                          bool IsLastUnit, TimePoint Now) {
  const auto Against = findSuspicion(Evidence, Of);
  if (!Against || Against->m_Ratio < Evidence.m_Options.m_MinHeldRatio ||
      isOver(*Against, Evidence.m_Options, Now))
    return SuspectState::Free;
  const Duration Hold = holdOf(Against->m_Ratio, Evidence.m_Options);
  return Now - Against->m_LastCrash < (IsLastUnit ? LastUnitFactor : 1) * Hold
             ? SuspectState::Held
             : SuspectState::Probation;
}

Duration timeToNextState(const CrashEvidence &Evidence, const Suspect &Of,
                         bool IsLastUnit, TimePoint Now) {
  const auto Against = findSuspicion(Evidence, Of);
  const SuspectState State = suspectState(Evidence, Of, IsLastUnit, Now);
  if (!Against || State == SuspectState::Free)
    return Duration::zero();
  const Duration Hold = holdOf(Against->m_Ratio, Evidence.m_Options);
  const int Factor = State == SuspectState::Probation ? ProbationEndFactor
                     : IsLastUnit                     ? LastUnitFactor
                                                      : 1;
  return Against->m_LastCrash + Factor * Hold - Now;
}

bool wouldBeHeld(const CrashEvidence &Evidence, const Suspect &Of,
                 std::uint32_t Requests, TimePoint Now) {
  const auto Against = findSuspicion(Evidence, Of);
  const bool Counts = Against && !isOver(*Against, Evidence.m_Options, Now);
  const double Ratio = Counts ? Against->m_Ratio : 1.0;
  return Ratio / chanceOf(describe(Evidence, Of, Now), Requests,
                          Evidence.m_Options) >=
         Evidence.m_Options.m_MinHeldRatio;
}

std::optional<Suspicion> findSuspicion(const CrashEvidence &Evidence,
                                       const Suspect &Of) {
  const auto Implicating = Evidence.m_CrashesBySuspect.find(Of);
  if (Implicating == Evidence.m_CrashesBySuspect.end())
    return std::nullopt;
  // The crashes that count, in order of time.
  const std::optional<TimePoint> Acquitted = acquittedAt(Evidence, Of);
  std::multimap<TimePoint, double> Chances;
  for (const ServerRun &Run : Implicating->second) {
    const ServerCrash &Crash = Evidence.m_Crashes.at(Run);
    if (Acquitted && Crash.m_At <= *Acquitted)
      continue;
    if (const auto Chance = chanceAt(Crash, Of.m_Id, Evidence.m_Options))
      Chances.emplace(Crash.m_At, *Chance);
  }
  std::optional<Suspicion> Found;
  for (auto Each = Chances.begin(); Each != Chances.end();) {
    const CommonCause Cause = commonCause(Evidence, Of.m_Service, Each->first);
    std::size_t Crashes = 0;
    double Chance = 1.0;
    for (; Each != Chances.end() && Each->first <= Cause.m_Last; ++Each) {
      ++Crashes;
      Chance *= Each->second;
    }
    if (!Found || isOver(*Found, Evidence.m_Options, Cause.m_Last))
      Found = Suspicion();
    // The suspect was at this many of the crashes, whichever.
    Found->m_Ratio /=
        std::min(1.0, binomial(Cause.m_Crashes, Crashes) * Chance);
    Found->m_Crashes += static_cast<std::uint32_t>(Crashes);
    Found->m_LastCrash = Cause.m_Last;
  }
  return Found;
}

std::set<ServerRun> crashesThatHold(const CrashEvidence &Evidence,
                                    TimePoint Now) {
  std::set<ServerRun> Runs;
  for (const auto &[Each, Implicating] : Evidence.m_CrashesBySuspect)
    if (suspectState(Evidence, Each, false, Now) != SuspectState::Free)
      Runs.insert(Implicating.begin(), Implicating.end());
  return Runs;
}

} // namespace mangocart
