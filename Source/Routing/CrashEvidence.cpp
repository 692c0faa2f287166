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

ImplicatedPart describe(const CrashEvidence &Evidence, const ServicePart &Part,
                        TimePoint Now) {
  const CrashEvidenceOptions &Options = Evidence.m_Options;
  const double Answers = valueOf(Evidence.m_SoundAnswers, Part, Options, Now);
  const double All =
      valueOf(Evidence.m_SoundByService, Part.m_Service, Options, Now);
  // Rule of succession: without any answers a part may be in all requests.
  return {(Answers + 1.0) / (All + 2.0), Answers};
}

// Upper bound of the probability that a sound part is among the requests.
double chanceOf(const ImplicatedPart &Part, std::uint32_t Requests,
                const CrashEvidenceOptions &Options) {
  const double Among =
      1.0 - std::pow(1.0 - std::clamp(Part.m_SoundFraction, 0.0, 1.0),
                     std::max<std::uint32_t>(Requests, 1));
  const double Known = std::min(Part.m_SoundAnswers, Options.m_MaxSoundAnswers);
  return std::min(1.0, std::max(Options.m_MinChance * (1.0 + Known), Among));
}

// The same for the requests that all gateways have reported; no value if none
// of them had the part.
std::optional<double> chanceAt(const ServerCrash &Crash,
                               const std::string &Part,
                               const CrashEvidenceOptions &Options) {
  std::uint32_t Requests = 0;
  std::optional<ImplicatedPart> Known;
  for (const auto &[Gateway, Report] : Crash.m_Reports) {
    Requests += Report.m_Requests;
    const auto Found = Report.m_Parts.find(Part);
    if (Found == Report.m_Parts.end())
      continue;
    if (!Known)
      Known = ImplicatedPart();
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

// When the last sound answer on the part is known to have come.
std::optional<TimePoint> acquittedAt(const CrashEvidence &Evidence,
                                     const ServicePart &Part) {
  std::optional<TimePoint> Latest;
  if (const auto Found = Evidence.m_Acquittals.find(Part);
      Found != Evidence.m_Acquittals.end())
    Latest = Found->second;
  if (const auto Found = Evidence.m_SoundAnswers.find(Part);
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
    for (const auto &[Part, Known] : Report.m_Parts) {
      const auto Found = Evidence.m_CrashesByPart.find({Crash.m_Service, Part});
      if (Found != Evidence.m_CrashesByPart.end() &&
          Found->second.erase(Run) > 0 && Found->second.empty())
        Evidence.m_CrashesByPart.erase(Found);
    }
}

void addToIndex(CrashEvidence &Evidence, const ServerRun &Run,
                const ServerCrash &Crash) {
  Evidence.m_CrashTimes[Crash.m_Service].insert(Crash.m_At);
  for (const auto &[Gateway, Report] : Crash.m_Reports)
    for (const auto &[Part, Known] : Report.m_Parts)
      Evidence.m_CrashesByPart[{Crash.m_Service, Part}].insert(Run);
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

void dropOldestCount(std::map<ServicePart, DecayingCount> &Counts) {
  Counts.erase(std::min_element(
      Counts.begin(), Counts.end(), [](const auto &A, const auto &B) {
        return A.second.m_UpdatedAt < B.second.m_UpdatedAt;
      }));
}

void storeAcquittal(CrashEvidence &Evidence, const ServicePart &Part,
                    TimePoint At) {
  auto &Acquittals = Evidence.m_Acquittals;
  TimePoint &Latest = Acquittals[Part];
  Latest = std::max(Latest, At);
  if (Acquittals.size() > Evidence.m_Options.m_MaxParts)
    Acquittals.erase(std::min_element(
        Acquittals.begin(), Acquittals.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; }));
}

} // namespace

CrashReport makeCrashReport(const CrashEvidence &Evidence,
                            const std::string &Service, std::uint32_t Requests,
                            const std::vector<std::string> &Parts,
                            TimePoint Now) {
  CrashReport Report;
  Report.m_Requests = Requests;
  for (const std::string &Part : Parts)
    Report.m_Parts[Part] = describe(Evidence, {Service, Part}, Now);
  return Report;
}

CrashMerge mergeCrash(CrashEvidence &Evidence, const ServerRun &Run,
                      const ServerCrash &Crash, TimePoint Now) {
  std::set<std::string> Parts;
  for (const auto &[Gateway, Report] : Crash.m_Reports)
    for (const auto &[Part, Described] : Report.m_Parts)
      Parts.insert(Part);
  std::map<std::string, std::optional<Suspicion>> Before;
  for (const std::string &Part : Parts)
    Before[Part] = findSuspicion(Evidence, {Crash.m_Service, Part});
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
  for (const std::string &Id : Parts) {
    const ServicePart Part{Crash.m_Service, Id};
    const auto Sound = Evidence.m_SoundAnswers.find(Part);
    if (Sound != Evidence.m_SoundAnswers.end() &&
        Sound->second.m_UpdatedAt >= At) {
      Merged.m_Acquitted[Part] = Sound->second.m_UpdatedAt;
      storeAcquittal(Evidence, Part, Sound->second.m_UpdatedAt);
    }
    if (findSuspicion(Evidence, Part) != Before[Id] &&
        partState(Evidence, Part, false, Now) == PartState::Held)
      Merged.m_Held.push_back(Part);
  }
  return Merged;
}

std::vector<ServicePart>
recordSoundAnswer(CrashEvidence &Evidence, const std::string &Service,
                  const std::vector<std::string> &Parts, TimePoint Now) {
  const CrashEvidenceOptions &Options = Evidence.m_Options;
  increment(Evidence.m_SoundByService[Service], Options, Now);
  std::vector<ServicePart> Acquitted;
  for (const std::string &Id : Parts) {
    const ServicePart Part{Service, Id};
    if (mergeAcquittal(Evidence, Part, Now, Now))
      Acquitted.push_back(Part);
    increment(Evidence.m_SoundAnswers[Part], Options, Now);
    if (Evidence.m_SoundAnswers.size() > Options.m_MaxParts)
      dropOldestCount(Evidence.m_SoundAnswers);
  }
  return Acquitted;
}

bool mergeAcquittal(CrashEvidence &Evidence, const ServicePart &Part,
                    TimePoint At, TimePoint Now) {
  const auto Before = findSuspicion(Evidence, Part);
  if (!Before || isOver(*Before, Evidence.m_Options, Now))
    return false;
  storeAcquittal(Evidence, Part, At);
  return findSuspicion(Evidence, Part) != Before;
}

PartState partState(const CrashEvidence &Evidence, const ServicePart &Part,
                    bool IsLastUnit, TimePoint Now) {
  const auto Against = findSuspicion(Evidence, Part);
  if (!Against || Against->m_Ratio < Evidence.m_Options.m_MinHeldRatio ||
      isOver(*Against, Evidence.m_Options, Now))
    return PartState::Free;
  const Duration Hold = holdOf(Against->m_Ratio, Evidence.m_Options);
  return Now - Against->m_LastCrash < (IsLastUnit ? LastUnitFactor : 1) * Hold
             ? PartState::Held
             : PartState::Probation;
}

Duration timeToNextState(const CrashEvidence &Evidence, const ServicePart &Part,
                         bool IsLastUnit, TimePoint Now) {
  const auto Against = findSuspicion(Evidence, Part);
  const PartState State = partState(Evidence, Part, IsLastUnit, Now);
  if (!Against || State == PartState::Free)
    return Duration::zero();
  const Duration Hold = holdOf(Against->m_Ratio, Evidence.m_Options);
  const int Factor = State == PartState::Probation ? ProbationEndFactor
                     : IsLastUnit                  ? LastUnitFactor
                                                   : 1;
  return Against->m_LastCrash + Factor * Hold - Now;
}

bool wouldBeHeld(const CrashEvidence &Evidence, const ServicePart &Part,
                 std::uint32_t Requests, TimePoint Now) {
  const auto Against = findSuspicion(Evidence, Part);
  const bool Counts = Against && !isOver(*Against, Evidence.m_Options, Now);
  const double Ratio = Counts ? Against->m_Ratio : 1.0;
  return Ratio / chanceOf(describe(Evidence, Part, Now), Requests,
                          Evidence.m_Options) >=
         Evidence.m_Options.m_MinHeldRatio;
}

std::optional<Suspicion> findSuspicion(const CrashEvidence &Evidence,
                                       const ServicePart &Part) {
  const auto Implicating = Evidence.m_CrashesByPart.find(Part);
  if (Implicating == Evidence.m_CrashesByPart.end())
    return std::nullopt;
  // The crashes that count, in order of time.
  const std::optional<TimePoint> Acquitted = acquittedAt(Evidence, Part);
  std::multimap<TimePoint, double> Chances;
  for (const ServerRun &Run : Implicating->second) {
    const ServerCrash &Crash = Evidence.m_Crashes.at(Run);
    if (Acquitted && Crash.m_At <= *Acquitted)
      continue;
    if (const auto Chance = chanceAt(Crash, Part.m_Part, Evidence.m_Options))
      Chances.emplace(Crash.m_At, *Chance);
  }
  std::optional<Suspicion> Found;
  for (auto Each = Chances.begin(); Each != Chances.end();) {
    const CommonCause Cause =
        commonCause(Evidence, Part.m_Service, Each->first);
    std::size_t Crashes = 0;
    double Chance = 1.0;
    for (; Each != Chances.end() && Each->first <= Cause.m_Last; ++Each) {
      ++Crashes;
      Chance *= Each->second;
    }
    if (!Found || isOver(*Found, Evidence.m_Options, Cause.m_Last))
      Found = Suspicion();
    // The part was at this many of the crashes, whichever.
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
  for (const auto &[Part, Implicating] : Evidence.m_CrashesByPart)
    if (partState(Evidence, Part, false, Now) != PartState::Free)
      Runs.insert(Implicating.begin(), Implicating.end());
  return Runs;
}

} // namespace mangocart
