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

// Crashes of a service in order of time, split where they are too far apart to
// have one cause.
std::vector<std::vector<const ServerCrash *>>
crashesByCause(const CrashEvidence &Evidence, const std::string &Service) {
  std::vector<const ServerCrash *> Crashes;
  for (const auto &[Run, Crash] : Evidence.m_Crashes)
    if (Crash.m_Service == Service)
      Crashes.push_back(&Crash);
  std::sort(Crashes.begin(), Crashes.end(),
            [](const ServerCrash *A, const ServerCrash *B) {
              return A->m_At < B->m_At;
            });
  std::vector<std::vector<const ServerCrash *>> Groups;
  for (const ServerCrash *Each : Crashes) {
    if (Groups.empty() || Each->m_At - Groups.back().back()->m_At >
                              Evidence.m_Options.m_CommonCauseWindow)
      Groups.emplace_back();
    Groups.back().push_back(Each);
  }
  return Groups;
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

// No value if no crash counts against the part.
std::optional<Suspicion>
suspicionOf(const CrashEvidence &Evidence, const ServicePart &Part,
            const std::vector<std::vector<const ServerCrash *>> &Causes) {
  const CrashEvidenceOptions &Options = Evidence.m_Options;
  const std::optional<TimePoint> Acquitted = acquittedAt(Evidence, Part);
  std::optional<Suspicion> Found;
  for (const auto &Together : Causes) {
    std::size_t Present = 0;
    double Chance = 1.0;
    for (const ServerCrash *Crash : Together) {
      if (Acquitted && Crash->m_At <= *Acquitted)
        continue;
      const auto Here = chanceAt(*Crash, Part.m_Part, Options);
      if (!Here)
        continue;
      ++Present;
      Chance *= *Here;
    }
    if (Present == 0)
      continue;
    const TimePoint At = Together.back()->m_At;
    if (!Found || isOver(*Found, Options, At))
      Found = Suspicion();
    // The part was at this many of the crashes, whichever.
    const double Any =
        std::min(1.0, binomial(Together.size(), Present) * Chance);
    Found->m_Ratio /= Any;
    Found->m_Crashes += static_cast<std::uint32_t>(Present);
    Found->m_LastCrash = At;
  }
  return Found;
}

bool isHeldRatio(const Suspicion &Against, const CrashEvidence &Evidence) {
  return Against.m_Ratio >= Evidence.m_Options.m_MinHeldRatio;
}

void updateSuspicion(CrashEvidence &Evidence, const ServicePart &Part) {
  const auto Now =
      suspicionOf(Evidence, Part, crashesByCause(Evidence, Part.m_Service));
  if (Now)
    Evidence.m_Suspicions[Part] = *Now;
  else
    Evidence.m_Suspicions.erase(Part);
}

// Recomputes the evidence against all parts at crashes of the service.
void updateService(CrashEvidence &Evidence, const std::string &Service) {
  std::set<std::string> Parts;
  for (const auto &[Run, Crash] : Evidence.m_Crashes)
    if (Crash.m_Service == Service)
      for (const auto &[Gateway, Report] : Crash.m_Reports)
        for (const auto &[Part, Known] : Report.m_Parts)
          Parts.insert(Part);
  std::erase_if(Evidence.m_Suspicions, [&](const auto &Each) {
    return Each.first.m_Service == Service;
  });
  const auto Causes = crashesByCause(Evidence, Service);
  for (const std::string &Part : Parts)
    if (const auto Against = suspicionOf(Evidence, {Service, Part}, Causes))
      Evidence.m_Suspicions[{Service, Part}] = *Against;
}

void dropOldestCrash(CrashEvidence &Evidence) {
  Evidence.m_Crashes.erase(
      std::min_element(Evidence.m_Crashes.begin(), Evidence.m_Crashes.end(),
                       [](const auto &A, const auto &B) {
                         return A.second.m_At < B.second.m_At;
                       }));
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
  const auto [At, Inserted] = Evidence.m_Crashes.try_emplace(Run, Crash);
  ServerCrash &Known = At->second;
  if (!Inserted) {
    Known.m_At = std::min(Known.m_At, Crash.m_At);
    for (const auto &[Gateway, Report] : Crash.m_Reports)
      Known.m_Reports[Gateway] = Report;
  }
  CrashMerge Merged;
  for (const auto &[Gateway, Report] : Crash.m_Reports)
    for (const auto &[Part, Described] : Report.m_Parts) {
      const auto Sound = Evidence.m_SoundAnswers.find({Crash.m_Service, Part});
      if (Sound == Evidence.m_SoundAnswers.end() ||
          Sound->second.m_UpdatedAt < Known.m_At)
        continue;
      Merged.m_Acquitted.push_back(Sound->first);
      storeAcquittal(Evidence, Sound->first, Sound->second.m_UpdatedAt);
    }
  if (Evidence.m_Crashes.size() > Evidence.m_Options.m_MaxCrashes)
    dropOldestCrash(Evidence);
  const auto Before = Evidence.m_Suspicions;
  updateService(Evidence, Crash.m_Service);
  for (const auto &[Part, Against] : Evidence.m_Suspicions) {
    if (partState(Evidence, Part, false, Now) != PartState::Held)
      continue;
    const auto Earlier = Before.find(Part);
    if (Earlier == Before.end() || Earlier->second != Against)
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
  const auto Against = Evidence.m_Suspicions.find(Part);
  if (Against == Evidence.m_Suspicions.end() ||
      isOver(Against->second, Evidence.m_Options, Now))
    return false;
  const Suspicion Before = Against->second;
  storeAcquittal(Evidence, Part, At);
  updateSuspicion(Evidence, Part);
  const Suspicion *After = findSuspicion(Evidence, Part);
  return !After || *After != Before;
}

PartState partState(const CrashEvidence &Evidence, const ServicePart &Part,
                    bool IsLastUnit, TimePoint Now) {
  const Suspicion *Against = findSuspicion(Evidence, Part);
  if (!Against || !isHeldRatio(*Against, Evidence) ||
      isOver(*Against, Evidence.m_Options, Now))
    return PartState::Free;
  const Duration Hold = holdOf(Against->m_Ratio, Evidence.m_Options);
  return Now - Against->m_LastCrash < (IsLastUnit ? LastUnitFactor : 1) * Hold
             ? PartState::Held
             : PartState::Probation;
}

Duration timeToNextState(const CrashEvidence &Evidence, const ServicePart &Part,
                         bool IsLastUnit, TimePoint Now) {
  const Suspicion *Against = findSuspicion(Evidence, Part);
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
  const Suspicion *Against = findSuspicion(Evidence, Part);
  const bool Counts = Against && !isOver(*Against, Evidence.m_Options, Now);
  const double Ratio = Counts ? Against->m_Ratio : 1.0;
  return Ratio / chanceOf(describe(Evidence, Part, Now), Requests,
                          Evidence.m_Options) >=
         Evidence.m_Options.m_MinHeldRatio;
}

const Suspicion *findSuspicion(const CrashEvidence &Evidence,
                               const ServicePart &Part) {
  const auto Found = Evidence.m_Suspicions.find(Part);
  return Found == Evidence.m_Suspicions.end() ? nullptr : &Found->second;
}

} // namespace mangocart
