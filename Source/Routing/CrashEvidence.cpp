// Likelihood ratios, holds and probation.
#include "Routing/CrashEvidence.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>

namespace mangocart {

namespace {

const SuspectKindOptions &optionsOf(const CrashEvidence &Evidence,
                                    SuspectKind Kind) {
  switch (Kind) {
  case SuspectKind::Request:
    return Evidence.m_Options.m_Requests;
  case SuspectKind::PromptPart:
    break;
  }
  return Evidence.m_Options.m_PromptParts;
}

// The hold, the longer hold of a last unit, and the probation after them.
constexpr int LastUnitFactor = 2;
constexpr int ProbationEndFactor = 3;

// Crashes with a common cause at which a request may be: it is sent to that
// many servers in the time.
constexpr double MaxServersTogether = 2.0;

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

const RecentRequest *findRecent(const CrashEvidence &Evidence,
                                const Suspect &Of) {
  const auto Service = Evidence.m_RecentRequests.find(Of.m_Service);
  if (Of.m_Id.m_Kind != SuspectKind::Request ||
      Service == Evidence.m_RecentRequests.end())
    return nullptr;
  return findRequest(Service->second, Of.m_Id.m_Text);
}

// Sound answers on the suspect, and all that they are compared with.
std::pair<double, double> soundAnswers(const CrashEvidence &Evidence,
                                       const Suspect &Of, TimePoint Now) {
  if (Of.m_Id.m_Kind == SuspectKind::Request) {
    const auto All = Evidence.m_RecentRequests.find(Of.m_Service);
    const RecentRequest *Own = findRecent(Evidence, Of);
    return {Own ? static_cast<double>(Own->m_Count) : 0.0,
            All == Evidence.m_RecentRequests.end()
                ? 0.0
                : static_cast<double>(All->second.m_Order.size())};
  }
  return {valueOf(Evidence.m_SoundAnswers, Of, Evidence.m_Options, Now),
          valueOf(Evidence.m_SoundByService, Of.m_Service, Evidence.m_Options,
                  Now)};
}

ImplicatedSuspect describe(const CrashEvidence &Evidence, const Suspect &Of,
                           TimePoint Now) {
  const SuspectKindOptions &Kind = optionsOf(Evidence, Of.m_Id.m_Kind);
  const auto [Answers, All] = soundAnswers(Evidence, Of, Now);
  return {(Answers + Kind.m_PriorFraction * Kind.m_PriorAnswers) /
              (All + Kind.m_PriorAnswers),
          Answers};
}

// Upper bound of the probability that a sound suspect is among the requests.
double chanceOf(const ImplicatedSuspect &Known, std::uint32_t Requests,
                double MinChance, const CrashEvidenceOptions &Options) {
  const double Among =
      1.0 - std::pow(1.0 - std::clamp(Known.m_SoundFraction, 0.0, 1.0),
                     std::max<std::uint32_t>(Requests, 1));
  const double Answers =
      std::min(Known.m_SoundAnswers, Options.m_MaxSoundAnswers);
  return std::min(1.0, std::max(MinChance * (1.0 + Answers), Among));
}

// The same for the requests that all gateways have reported; no value if none
// of them had the suspect.
std::optional<double> chanceAt(const ServerCrash &Crash, const SuspectId &Id,
                               double MinChance,
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
  return chanceOf(*Known, Requests, MinChance, Options);
}

double binomial(std::size_t Of, std::size_t Chosen) {
  double Ways = 1.0;
  for (std::size_t I = 0; I < Chosen; ++I)
    Ways *= static_cast<double>(Of - I) / static_cast<double>(I + 1);
  return Ways;
}

// The crashes of a service that may have one cause with the one at this time,
// and the latest of them.
struct CommonCause {
  std::size_t m_Crashes = 0;
  TimePoint m_Last;
};

CommonCause commonCause(const CrashEvidence &Evidence,
                        const std::string &Service, TimePoint At) {
  const Duration Window = Evidence.m_Options.m_CommonCauseWindow;
  const std::multiset<TimePoint> &Times = Evidence.m_CrashTimes.at(Service);
  const auto First = Times.lower_bound(At - Window);
  const auto End = Times.upper_bound(At + Window);
  return {static_cast<std::size_t>(std::distance(First, End)), *std::prev(End)};
}

// Upper bound of the probability that a sound suspect was by chance at as many
// of the crashes with a common cause as there are chances.
double chanceTogether(const std::vector<double> &Chances, std::size_t Crashes,
                      const SuspectKindOptions &Kind) {
  if (!Kind.m_CommonCauseChance) {
    // It was at this many of the crashes, whichever.
    double All = binomial(Crashes, Chances.size());
    for (const double Each : Chances)
      All *= Each;
    return std::min(1.0, All);
  }
  const double Largest = *std::max_element(Chances.begin(), Chances.end());
  const double Ways =
      std::min(MaxServersTogether, static_cast<double>(Crashes) /
                                       static_cast<double>(Chances.size()));
  return std::min(1.0,
                  Largest * Ways *
                      (Chances.size() > 1 ? *Kind.m_CommonCauseChance : 1.0));
}

Duration holdOf(double Ratio, const CrashEvidenceOptions &Options) {
  const auto Seconds = std::chrono::duration<double>(Options.m_HoldPerRatio);
  const auto Max = std::chrono::duration<double>(Options.m_MaxHold);
  return std::chrono::duration_cast<Duration>(std::min(Seconds * Ratio, Max));
}

bool isForgotten(const CrashEvidence &Evidence, SuspectKind Kind,
                 const Suspicion &Against, TimePoint Now) {
  return Now - Against.m_LastCrash >
         std::max(ProbationEndFactor *
                      holdOf(Against.m_Ratio, Evidence.m_Options),
                  optionsOf(Evidence, Kind).m_MinMemory);
}

// When this gateway last had a sound answer on the suspect.
std::optional<TimePoint> ownSoundAnswerAt(const CrashEvidence &Evidence,
                                          const Suspect &Of) {
  if (const RecentRequest *Recent = findRecent(Evidence, Of))
    return Recent->m_LastAt;
  const auto Found = Evidence.m_SoundAnswers.find(Of);
  return Found == Evidence.m_SoundAnswers.end()
             ? std::nullopt
             : std::optional(Found->second.m_UpdatedAt);
}

// The same for all gateways, as far as this one knows.
std::optional<TimePoint> acquittedAt(const CrashEvidence &Evidence,
                                     const Suspect &Of) {
  const auto Found = Evidence.m_Acquittals.find(Of);
  const auto Known = Found == Evidence.m_Acquittals.end()
                         ? std::nullopt
                         : std::optional(Found->second);
  return std::max(Known, ownSoundAnswerAt(Evidence, Of));
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
  case SuspectKind::Request:
    return "request";
  case SuspectKind::PromptPart:
    break;
  }
  return "prompt-part";
}

std::string toString(const SuspectId &Id) {
  return std::string(toString(Id.m_Kind)) + ":" + Id.m_Text;
}

std::string_view toString(SuspectState State) {
  switch (State) {
  case SuspectState::Held:
    return "held";
  case SuspectState::Probation:
    return "probation";
  case SuspectState::Free:
    break;
  }
  return "free";
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
    if (const auto Sound = ownSoundAnswerAt(Evidence, Each); Sound >= At) {
      Merged.m_Acquitted[Each] = *Sound;
      storeAcquittal(Evidence, Each, *Sound);
    }
    const SuspectState State = suspectState(Evidence, Each, false, Now);
    if (State != SuspectState::Free &&
        findSuspicion(Evidence, Each) != Before[Id])
      Merged.m_Restricted[Each] = State;
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
    if (Id.m_Kind == SuspectKind::Request) {
      recordRequest(Evidence.m_RecentRequests[Service], Id.m_Text,
                    Options.m_MaxRecentRequests, Now);
      continue;
    }
    increment(Evidence.m_SoundAnswers[Each], Options, Now);
    if (Evidence.m_SoundAnswers.size() > Options.m_MaxSuspects)
      dropOldestCount(Evidence.m_SoundAnswers);
  }
  return Acquitted;
}

bool mergeAcquittal(CrashEvidence &Evidence, const Suspect &Of, TimePoint At,
                    TimePoint Now) {
  const auto Before = findSuspicion(Evidence, Of);
  if (!Before || isForgotten(Evidence, Of.m_Id.m_Kind, *Before, Now))
    return false;
  storeAcquittal(Evidence, Of, At);
  return findSuspicion(Evidence, Of) != Before;
}

SuspectState suspectState(const CrashEvidence &Evidence, const Suspect &Of,
                          bool IsLastUnit, TimePoint Now) {
  const SuspectKindOptions &Kind = optionsOf(Evidence, Of.m_Id.m_Kind);
  const auto Against = findSuspicion(Evidence, Of);
  if (!Against || Against->m_Ratio < Kind.m_MinProbationRatio)
    return SuspectState::Free;
  const Duration Hold = holdOf(Against->m_Ratio, Evidence.m_Options);
  const Duration Since = Now - Against->m_LastCrash;
  if (Against->m_Ratio >= Kind.m_MinHeldRatio &&
      Since < (IsLastUnit ? LastUnitFactor : 1) * Hold)
    return SuspectState::Held;
  return Since <= ProbationEndFactor * Hold ? SuspectState::Probation
                                            : SuspectState::Free;
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

bool mayBecomeRestricted(const CrashEvidence &Evidence, const Suspect &Of,
                         std::uint32_t Requests, TimePoint Now) {
  const SuspectKindOptions &Kind = optionsOf(Evidence, Of.m_Id.m_Kind);
  const auto Against = findSuspicion(Evidence, Of);
  const bool Counts =
      Against && !isForgotten(Evidence, Of.m_Id.m_Kind, *Against, Now);
  const double Chance = chanceOf(
      describe(Evidence, Of, Now), Requests,
      Counts ? Kind.m_MinChance : Kind.m_MinFirstChance, Evidence.m_Options);
  return (Counts ? Against->m_Ratio : 1.0) / Chance >= Kind.m_MinProbationRatio;
}

std::optional<Suspicion> findSuspicion(const CrashEvidence &Evidence,
                                       const Suspect &Of) {
  const auto Implicating = Evidence.m_CrashesBySuspect.find(Of);
  if (Implicating == Evidence.m_CrashesBySuspect.end())
    return std::nullopt;
  // The crashes that count, in order of time.
  const SuspectKindOptions &Kind = optionsOf(Evidence, Of.m_Id.m_Kind);
  const std::optional<TimePoint> Acquitted = acquittedAt(Evidence, Of);
  std::multimap<TimePoint, const ServerCrash *> Crashes;
  for (const ServerRun &Run : Implicating->second) {
    const ServerCrash &Crash = Evidence.m_Crashes.at(Run);
    if (!Acquitted || Crash.m_At > *Acquitted)
      Crashes.emplace(Crash.m_At, &Crash);
  }
  std::optional<Suspicion> Found;
  for (auto Each = Crashes.begin(); Each != Crashes.end();) {
    const CommonCause Cause = commonCause(Evidence, Of.m_Service, Each->first);
    const bool IsFirst =
        !Found || isForgotten(Evidence, Of.m_Id.m_Kind, *Found, Each->first);
    std::vector<double> Chances;
    for (; Each != Crashes.end() && Each->first <= Cause.m_Last; ++Each)
      if (const auto Chance =
              chanceAt(*Each->second, Of.m_Id,
                       IsFirst ? Kind.m_MinFirstChance : Kind.m_MinChance,
                       Evidence.m_Options))
        Chances.push_back(*Chance);
    if (Chances.empty())
      continue;
    if (IsFirst)
      Found = Suspicion();
    Found->m_Ratio /= chanceTogether(Chances, Cause.m_Crashes, Kind);
    Found->m_Crashes += static_cast<std::uint32_t>(Chances.size());
    Found->m_LastCrash = Cause.m_Last;
  }
  return Found;
}

std::vector<std::string> implicatingServers(const CrashEvidence &Evidence,
                                            const Suspect &Of) {
  std::vector<std::string> Servers;
  if (const auto Found = Evidence.m_CrashesBySuspect.find(Of);
      Found != Evidence.m_CrashesBySuspect.end())
    for (const ServerRun &Run : Found->second)
      Servers.push_back(Run.m_BackendServer);
  return Servers;
}

bool isRemembered(const CrashEvidence &Evidence, const ServerCrash &Crash,
                  TimePoint Now) {
  return Now - Crash.m_At <= Evidence.m_Options.m_Requests.m_MinMemory;
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
