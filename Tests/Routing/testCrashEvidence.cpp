// Evidence against parts of prompts that crash servers, case by case and in
// simulated crashes. Guards against requests of one kind that keep crashing
// backend servers, and against sound parts that are held back in their place.
#include "Core/Random.h"
#include "Routing/CrashEvidence.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <set>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1000s};
const std::string Service = "drafts";

Suspect part(const std::string &Id) {
  return {Service, {SuspectKind::PromptPart, Id}};
}

std::vector<SuspectId> parts(const std::vector<std::string> &Texts) {
  std::vector<SuspectId> Ids;
  Ids.reserve(Texts.size());
  for (const std::string &Text : Texts)
    Ids.push_back({SuspectKind::PromptPart, Text});
  return Ids;
}

// Sound answers in the ten seconds before the time, a tenth of them on
// "shared".
CrashEvidence evidence(TimePoint Now = Start) {
  CrashEvidence Evidence;
  for (int I = 0; I < 200; ++I)
    recordSoundAnswer(
        Evidence, Service,
        parts({"all", I % 10 == 0 ? "shared" : fmt::format("s{}", I)}),
        Now - 10s + I * 50ms);
  return Evidence;
}

// A crash while the server began answers on these parts, each in its own
// request.
CrashMerge crash(CrashEvidence &Evidence, const std::string &Server,
                 const std::vector<std::string> &Parts, TimePoint At,
                 const std::string &Gateway = "g1") {
  return mergeCrash(
      Evidence, {Server, 1},
      {Service,
       At,
       {{Gateway, makeCrashReport(Evidence, Service,
                                  static_cast<std::uint32_t>(Parts.size()),
                                  parts(Parts), At)}}},
      At);
}

double ratio(const CrashEvidence &Evidence, const std::string &Id) {
  const auto Against = findSuspicion(Evidence, part(Id));
  return Against ? Against->m_Ratio : 1.0;
}

SuspectState state(const CrashEvidence &Evidence, const std::string &Id,
                   TimePoint Now, bool IsLastUnit = false) {
  return suspectState(Evidence, part(Id), IsLastUnit, Now);
}

} // namespace

TEST_CASE(
    "a part that is new at a crash is held, one that is everywhere isn't") {
  CrashEvidence E = evidence();
  const CrashMerge Merged = crash(E, "e1", {"bad", "all", "shared"}, Start);
  CHECK(Merged.m_Restricted ==
        std::map<Suspect, SuspectState>{{part("bad"), SuspectState::Held}});
  CHECK(state(E, "bad", Start) == SuspectState::Held);
  CHECK(state(E, "all", Start) == SuspectState::Free);
  CHECK(state(E, "shared", Start) == SuspectState::Free);
}

TEST_CASE("two crashes convict a part that was at both") {
  CrashEvidence E = evidence();
  crash(E, "e1", {"bad", "s1"}, Start);
  crash(E, "e2", {"bad", "s2"}, Start + 12s);
  CHECK(ratio(E, "bad") >= E.m_Options.m_ConvictionRatio);
  CHECK(state(E, "bad", Start + 60s) == SuspectState::Held);
  CHECK(ratio(E, "s1") < E.m_Options.m_ConvictionRatio);
  CHECK(state(E, "s1", Start + 60s) == SuspectState::Free);
}

TEST_CASE("a sound answer ends the evidence, the next crash starts anew") {
  CrashEvidence E = evidence();
  crash(E, "e1", {"new"}, Start);
  REQUIRE(state(E, "new", Start + 1s) == SuspectState::Held);
  CHECK(recordSoundAnswer(E, Service, parts({"new"}), Start + 1s) ==
        std::vector{part("new")});
  CHECK(state(E, "new", Start + 1s) == SuspectState::Free);
  crash(E, "e2", {"new"}, Start + 2s);
  CHECK(ratio(E, "new") < E.m_Options.m_ConvictionRatio);
}

TEST_CASE("a part that was sound before can still be convicted") {
  CrashEvidence E = evidence();
  for (int I = 1; I <= 5; ++I)
    crash(E, fmt::format("e{}", I), {"shared"}, Start + I * 5s);
  CHECK(ratio(E, "shared") >= E.m_Options.m_ConvictionRatio);
}

TEST_CASE("a crash that several gateways report counts once") {
  CrashEvidence E = evidence();
  crash(E, "e1", {"bad"}, Start, "g1");
  const double Once = ratio(E, "bad");
  crash(E, "e1", {"bad"}, Start + 10ms, "g1");
  CHECK(ratio(E, "bad") == Once);
  crash(E, "e1", {"bad", "x"}, Start + 20ms, "g2");
  CHECK(findSuspicion(E, part("bad"))->m_Crashes == 1);
  CHECK(ratio(E, "bad") <= Once);
}

TEST_CASE("the order of reports and sound answers doesn't matter") {
  CrashEvidence A = evidence();
  crash(A, "e1", {"p"}, Start);
  mergeAcquittal(A, part("p"), Start + 1s, Start + 1s);
  CHECK(state(A, "p", Start + 1s) == SuspectState::Free);
  // The report of the crash arrives after the answer.
  CrashEvidence B = evidence();
  recordSoundAnswer(B, Service, parts({"p"}), Start + 1s);
  CrashReport Report =
      makeCrashReport(evidence(), Service, 1, parts({"p"}), Start);
  const CrashMerge Merged = mergeCrash(
      B, {"e1", 1}, {Service, Start, {{"g2", Report}}}, Start + 1100ms);
  CHECK(Merged.m_Restricted.empty());
  CHECK(Merged.m_Acquitted ==
        std::map<Suspect, TimePoint>{{part("p"), Start + 1s}});
  CHECK(state(B, "p", Start + 1100ms) == SuspectState::Free);
}

TEST_CASE(
    "the time of a sound answer is told even if it is forgotten at once") {
  CrashEvidence E = evidence();
  E.m_Options.m_MaxSuspects = 1;
  E.m_Acquittals[part("newer")] = Start + 10s;
  E.m_SoundAnswers[part("p")] = {1.0, Start + 1s};
  const CrashMerge Merged = crash(E, "e1", {"p"}, Start);
  CHECK(E.m_Acquittals.count(part("p")) == 0);
  CHECK(Merged.m_Acquitted ==
        std::map<Suspect, TimePoint>{{part("p"), Start + 1s}});
}

TEST_CASE("a zone without power convicts none of the parts that were there") {
  CrashEvidence E = evidence();
  for (int Server = 0; Server < 4; ++Server)
    crash(E, fmt::format("e{}", Server),
          {fmt::format("n{}", 2 * Server), fmt::format("n{}", 2 * Server + 1)},
          Start + Server * 5ms);
  for (int I = 0; I < 8; ++I)
    CHECK(ratio(E, fmt::format("n{}", I)) <= 5.0);
}

TEST_CASE("servers that crash together under one part count against it") {
  CrashEvidence E = evidence();
  crash(E, "e1", {"bad", "s1"}, Start);
  crash(E, "e2", {"bad", "s2"}, Start + 20ms);
  CHECK(ratio(E, "bad") >= E.m_Options.m_ConvictionRatio);
}

TEST_CASE("two parts that crash servers at the same time are both held") {
  CrashEvidence E = evidence();
  for (int Round = 0; Round < 2; ++Round) {
    const TimePoint At = Start + Round * 12s;
    crash(E, fmt::format("a{}", Round), {"bad1"}, At);
    crash(E, fmt::format("b{}", Round), {"bad2"}, At + 300ms);
  }
  CHECK(state(E, "bad1", Start + 13s) == SuspectState::Held);
  CHECK(state(E, "bad2", Start + 13s) == SuspectState::Held);
}

TEST_CASE("after the hold one request is tried, then the evidence is over") {
  CrashEvidence E = evidence();
  crash(E, "e1", {"p"}, Start);
  const Duration Hold = timeToNextState(E, part("p"), false, Start);
  REQUIRE(Hold > 5s);
  CHECK(state(E, "p", Start + Hold - 1ms) == SuspectState::Held);
  CHECK(state(E, "p", Start + Hold) == SuspectState::Probation);
  CHECK(state(E, "p", Start + Hold, true) == SuspectState::Held);
  CHECK(state(E, "p", Start + 2 * Hold, true) == SuspectState::Probation);
  CHECK(state(E, "p", Start + 3 * Hold + 1ms) == SuspectState::Free);
  // A much later crash doesn't add to it.
  crash(E, "e2", {"p"}, Start + 4 * Hold);
  CHECK(findSuspicion(E, part("p"))->m_Crashes == 1);
}

TEST_CASE("a gateway that knows nothing yet holds no part") {
  CrashEvidence E;
  crash(E, "e1", {"a", "b"}, Start);
  crash(E, "e2", {"a", "b"}, Start + 10s);
  CHECK(state(E, "a", Start + 10s) == SuspectState::Free);
}

TEST_CASE("what is kept is bounded") {
  CrashEvidence E;
  E.m_Options.m_MaxCrashes = 8;
  E.m_Options.m_MaxSuspects = 16;
  for (int I = 0; I < 100; ++I) {
    recordSoundAnswer(E, Service, parts({fmt::format("s{}", I)}),
                      Start + I * 1s);
    crash(E, fmt::format("e{}", I), {fmt::format("c{}", I)}, Start + I * 1s);
    recordSoundAnswer(E, Service, parts({fmt::format("c{}", I)}),
                      Start + I * 1s + 1ms);
  }
  CHECK(E.m_Crashes.size() <= 8);
  CHECK(E.m_SoundAnswers.size() <= 16);
  CHECK(E.m_Acquittals.size() <= 16);
  CHECK(E.m_CrashesBySuspect.size() <= 8);
  CHECK(E.m_CrashTimes[Service].size() <= 8);
}

TEST_CASE(
    "a report about a herd of crashes costs little, whoever else reports") {
  CrashEvidence E = evidence();
  for (int Server = 0; Server < 200; ++Server)
    for (int Gateway = 0; Gateway < 12; ++Gateway)
      crash(E, fmt::format("e{}", Server),
            {"all", fmt::format("n{}-{}", Server, Gateway)},
            Start + Server * 1ms, fmt::format("g{}", Gateway));
  CHECK(E.m_Crashes.size() == 200);
  CHECK(E.m_CrashesBySuspect.size() == 2401);
  // None of them is held, so a gateway that starts is told of none.
  CHECK(crashesThatHold(E, Start + 1s).empty());
}

namespace {

struct CrashModel {
  double m_RequestsPerSecond = 60.0;
  std::size_t m_Servers = 12;
  // Parts of sound requests; part N is asked for in proportion to 1 / (N + 1).
  std::size_t m_Subjects = 200;
  // Requests with the crashing part; 0 for none.
  double m_CrashingPerSecond = 0.0;
  // Crashes with other causes, each of this many servers at once.
  double m_OtherCrashesPerSecond = 0.0;
  std::size_t m_ServersPerCrash = 1;
  // A crash stops all servers for this time.
  Duration m_Outage = 0s;
  Duration m_Length = 120s;
};

struct CrashModelResult {
  std::size_t m_Crashes = 0;
  std::size_t m_SentAfterFifthCrash = 0;
  std::set<std::string> m_Convicted;
  std::size_t m_Sound = 0;
  std::size_t m_SoundHeld = 0;
};

// One gateway sees everything. Requests take 300 ms to their first token; a
// crashing one crashes its server then.
CrashModelResult run(const CrashModel &Model, std::uint64_t Seed) {
  struct Running {
    TimePoint m_BeginsAt;
    std::size_t m_Server;
    std::vector<std::string> m_Parts;
  };
  constexpr Duration Step = 10ms;
  constexpr Duration FirstToken = 300ms;
  constexpr std::size_t MaxRequestsPerServer = 12;
  Random Generator(Seed);
  CrashModelResult Result;
  CrashEvidence Evidence;
  std::vector<Running> Requests;
  TimePoint UpAt = Start;
  std::optional<TimePoint> FifthCrash;
  const auto Happens = [&](double PerSecond) {
    return uniformReal(Generator) <
           PerSecond * std::chrono::duration<double>(Step).count();
  };
  double Weights = 0.0;
  for (std::size_t I = 0; I < Model.m_Subjects; ++I)
    Weights += 1.0 / static_cast<double>(I + 1);
  const auto Subject = [&] {
    double Drawn = uniformReal(Generator) * Weights;
    std::size_t I = 0;
    while (I + 1 < Model.m_Subjects &&
           (Drawn -= 1.0 / static_cast<double>(I + 1)) > 0)
      ++I;
    return fmt::format("s{}", I);
  };
  const auto Crash = [&](std::size_t Server, TimePoint Now) {
    std::vector<std::string> Parts;
    std::uint32_t Beginning = 0;
    std::erase_if(Requests, [&](const Running &Each) {
      if (Each.m_Server != Server)
        return false;
      ++Beginning;
      Parts.insert(Parts.end(), Each.m_Parts.begin(), Each.m_Parts.end());
      return true;
    });
    mergeCrash(Evidence, {fmt::format("e{}", Server), ++Result.m_Crashes},
               {Service,
                Now,
                {{"g", makeCrashReport(Evidence, Service, Beginning,
                                       parts(Parts), Now)}}},
               Now);
    for (const std::string &Each : Parts)
      if (ratio(Evidence, Each) >= Evidence.m_Options.m_ConvictionRatio)
        Result.m_Convicted.insert(Each);
    UpAt = std::max(UpAt, Now + Model.m_Outage);
  };
  const auto Send = [&](std::vector<std::string> Parts, bool IsCrashing,
                        TimePoint Now) {
    Result.m_Sound += IsCrashing ? 0 : 1;
    const bool IsHeld =
        std::any_of(Parts.begin(), Parts.end(), [&](const std::string &Id) {
          return state(Evidence, Id, Now, Model.m_Outage > 0s) !=
                 SuspectState::Free;
        });
    if (IsHeld) {
      Result.m_SoundHeld += IsCrashing ? 0 : 1;
      return;
    }
    const std::size_t Server = uniform(Generator, 0, Model.m_Servers - 1);
    if (Now < UpAt ||
        static_cast<std::size_t>(std::count_if(Requests.begin(), Requests.end(),
                                               [&](const Running &Each) {
                                                 return Each.m_Server == Server;
                                               })) >= MaxRequestsPerServer)
      return;
    if (IsCrashing && FifthCrash && Now > *FifthCrash + 3s)
      ++Result.m_SentAfterFifthCrash;
    Requests.push_back({Now + FirstToken, Server, std::move(Parts)});
  };
  for (TimePoint Now = Start; Now < Start + Model.m_Length; Now += Step) {
    if (Happens(Model.m_RequestsPerSecond))
      Send({"all", Subject()}, false, Now);
    if (Now > Start + 10s && Happens(Model.m_CrashingPerSecond))
      Send({"all", "bad"}, true, Now);
    if (Now > Start + 10s && Happens(Model.m_OtherCrashesPerSecond))
      for (std::size_t I = 0; I < Model.m_ServersPerCrash; ++I)
        Crash(uniform(Generator, 0, Model.m_Servers - 1), Now);
    for (std::size_t I = 0; I < Requests.size(); ++I) {
      if (Requests[I].m_BeginsAt > Now)
        continue;
      const Running Begun = Requests[I];
      if (std::count(Begun.m_Parts.begin(), Begun.m_Parts.end(), "bad") > 0) {
        Crash(Begun.m_Server, Now);
        if (Result.m_Crashes == 5)
          FifthCrash = Now;
      } else {
        recordSoundAnswer(Evidence, Service, parts(Begun.m_Parts), Now);
        Requests.erase(Requests.begin() + static_cast<std::ptrdiff_t>(I));
      }
      I = static_cast<std::size_t>(-1);
    }
  }
  return Result;
}

} // namespace

TEST_CASE("crashes with other causes convict sound parts in at most one of a "
          "hundred") {
  const CrashModel Models[] = {
      {60, 12, 200, 0, 0.2, 1, 0s, 120s},
      {60, 12, 200, 0, 0.1, 4, 0s, 120s},
      {60, 12, 40, 0, 0.5, 1, 0s, 120s},
      {60, 12, 1000, 0, 0.1, 1, 4s, 120s},
  };
  for (const CrashModel &Model : Models) {
    std::size_t Convicted = 0;
    std::size_t Parts = 0;
    std::size_t Sound = 0;
    std::size_t Held = 0;
    for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
      const CrashModelResult Result = run(Model, Seed);
      REQUIRE(Result.m_Crashes > 0);
      Convicted += Result.m_Convicted.size();
      Parts += Model.m_Subjects + 1;
      Sound += Result.m_Sound;
      Held += Result.m_SoundHeld;
      CHECK(Result.m_Convicted.count("all") == 0);
    }
    INFO(Convicted << " of " << Parts << " parts convicted, " << Held << " of "
                   << Sound << " requests held");
    CHECK(Convicted * 100 <= Parts);
    CHECK(Held * 20 <= Sound);
  }
}

TEST_CASE("a crashing part among sound ones is kept from servers, its sound "
          "neighbours are served") {
  const CrashModel Models[] = {
      {60, 12, 200, 0.5, 0, 1, 0s, 120s}, {60, 12, 200, 5, 0, 1, 0s, 120s},
      {60, 12, 200, 0.5, 0, 1, 4s, 120s}, {60, 12, 200, 5, 0, 1, 4s, 120s},
      {60, 12, 200, 2, 0.1, 1, 0s, 120s}, {300, 48, 2000, 20, 0, 1, 0s, 120s},
  };
  for (const CrashModel &Model : Models)
    for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
      const CrashModelResult Result = run(Model, Seed);
      INFO("rate " << Model.m_CrashingPerSecond << ", seed " << Seed
                   << ", crashes " << Result.m_Crashes << ", held "
                   << Result.m_SoundHeld << " of " << Result.m_Sound);
      CHECK(Result.m_SentAfterFifthCrash <= 3);
      CHECK(Result.m_SoundHeld * 2 < Result.m_Sound);
      CHECK(Result.m_Convicted.count("all") == 0);
    }
}
