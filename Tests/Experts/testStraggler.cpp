// Tests the classification of slow ranks over many seeds: ranks with hot
// experts, slow by themselves, and both.
#include "Experts/Straggler.h"
#include "Loads.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace mangocart;
using namespace mangocart::test;

namespace {

struct RankCase {
  std::string m_Name;
  // Rank 3 of the group relative to its peers.
  double m_LoadRatio = 1;
  double m_Slowness = 1;
  // Fraction of the steps in which it is slow.
  double m_SlowFraction = 1;
  RankClass m_Class = RankClass::Normal;
};

constexpr std::size_t Subject = 3;

std::vector<RankSample> makeStep(std::size_t Ranks, const RankCase &Case,
                                 bool IsSlow, Random &Generator) {
  constexpr double BaseSeconds = 0.010;
  constexpr double SecondsPerToken = 1e-6;
  constexpr double MeanTokens = 15'000;
  std::vector<RankSample> Step;
  for (std::size_t Rank = 0; Rank < Ranks; ++Rank) {
    RankSample Sample;
    Sample.m_Tokens = MeanTokens * (1 + 0.05 * sampleNormal(Generator));
    if (Rank == Subject)
      Sample.m_Tokens *= Case.m_LoadRatio;
    Sample.m_Seconds = (BaseSeconds + SecondsPerToken * Sample.m_Tokens) *
                       (1 + 0.01 * sampleNormal(Generator));
    if (Rank == Subject && IsSlow)
      Sample.m_Seconds *= Case.m_Slowness;
    Step.push_back(Sample);
  }
  return Step;
}

RankClassification classify(std::size_t Ranks, const RankCase &Case,
                            std::uint64_t Seed) {
  Random Generator(Seed);
  const StragglerOptions Options;
  StragglerWindow Window;
  const auto SlowSteps = static_cast<std::uint32_t>(
      Case.m_SlowFraction * static_cast<double>(Options.m_Window));
  for (std::uint32_t I = 0; I < Options.m_Window; ++I)
    addStep(Window, Options, makeStep(Ranks, Case, I < SlowSteps, Generator));
  return classifyRanks(Window, Options);
}

} // namespace

TEST_CASE("a straggler is distinguished from a rank with hot experts") {
  const auto Case = GENERATE(values<RankCase>({
      {"a rank like its peers", 1, 1, 1, RankClass::Normal},
      {"hot experts", 1.8, 1, 1, RankClass::HotExperts},
      {"very hot experts", 4, 1, 1, RankClass::HotExperts},
      {"cold experts", 0.3, 1, 1, RankClass::Normal},
      {"slow by itself", 1, 1.4, 1, RankClass::Relieve},
      {"slow with few tokens", 0.5, 1.4, 1, RankClass::Relieve},
      {"slow with hot experts", 1.5, 1.4, 1, RankClass::Relieve},
      {"too slow to be relieved", 1, 3, 1, RankClass::Report},
      {"slow in a few steps only", 1, 1.4, 0.5, RankClass::Normal},
      {"slow in most steps", 1, 1.4, 0.85, RankClass::Relieve},
  }));
  const auto Ranks = GENERATE(values<std::size_t>({8, 32, 128}));
  for (std::uint64_t Seed = 1; Seed <= 300; ++Seed) {
    INFO(Case.m_Name << ", " << Ranks << " ranks, seed " << Seed);
    const RankClassification Classification = classify(Ranks, Case, Seed);
    REQUIRE(Classification.m_Ranks[Subject] == Case.m_Class);
    for (std::size_t Rank = 0; Rank < Ranks; ++Rank)
      if (Rank != Subject)
        REQUIRE(Classification.m_Ranks[Rank] == RankClass::Normal);
    const double Slowness = Classification.m_Slowness.m_Factors[Subject];
    if (Case.m_Class == RankClass::Relieve)
      REQUIRE(Slowness == Approx(Case.m_Slowness).epsilon(0.1));
    else
      REQUIRE(Slowness == 1.0);
  }
}

TEST_CASE("no rank is classified before the window is full") {
  const StragglerOptions Options;
  StragglerWindow Window;
  CHECK(classifyRanks(Window, Options).m_Ranks.empty());
  Random Generator(1);
  const RankCase Slow{"", 1, 1.5, 1, RankClass::Relieve};
  for (std::uint32_t I = 0; I + 1 < Options.m_Window; ++I)
    addStep(Window, Options, makeStep(8, Slow, true, Generator));
  CHECK(classifyRanks(Window, Options).m_Ranks[Subject] == RankClass::Normal);
  addStep(Window, Options, makeStep(8, Slow, true, Generator));
  CHECK(classifyRanks(Window, Options).m_Ranks[Subject] == RankClass::Relieve);
  // A different number of ranks or a replaced rank clears the window.
  addStep(Window, Options, makeStep(9, Slow, true, Generator));
  CHECK(Window.m_Steps.size() == 1);
  clearSteps(Window);
  CHECK(classifyRanks(Window, Options).m_Ranks.empty());
}

TEST_CASE("too many slow ranks make the fit unreliable") {
  const StragglerOptions Options;
  StragglerWindow Window;
  Random Generator(4);
  for (std::uint32_t I = 0; I < Options.m_Window; ++I) {
    std::vector<RankSample> Step = makeStep(32, {}, false, Generator);
    for (std::size_t Rank = 0; Rank < 8; ++Rank)
      Step[Rank].m_Seconds *= 1.5;
    addStep(Window, Options, std::move(Step));
  }
  const RankClassification Classification = classifyRanks(Window, Options);
  CHECK(std::count(Classification.m_Ranks.begin(), Classification.m_Ranks.end(),
                   RankClass::Normal) == 32);
}
