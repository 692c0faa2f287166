// Tables and seeds of slow ranks: with hot experts, slow by themselves, both.
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
  // Rank 3 of the group against its peers.
  double m_LoadRatio = 1;
  double m_Slowness = 1;
  // Part of the steps in which it is slow.
  double m_SlowPart = 1;
  RankVerdict m_Verdict = RankVerdict::InLine;
};

constexpr std::size_t Subject = 3;

std::vector<RankReading> readStep(std::size_t Ranks, const RankCase &Case,
                                  bool IsSlow, Random &Generator) {
  constexpr double BaseSeconds = 0.010;
  constexpr double SecondsPerToken = 1e-6;
  constexpr double MeanTokens = 15'000;
  std::vector<RankReading> Step;
  for (std::size_t Rank = 0; Rank < Ranks; ++Rank) {
    RankReading Reading;
    Reading.m_Tokens = MeanTokens * (1 + 0.05 * normal(Generator));
    if (Rank == Subject)
      Reading.m_Tokens *= Case.m_LoadRatio;
    Reading.m_Seconds = (BaseSeconds + SecondsPerToken * Reading.m_Tokens) *
                        (1 + 0.01 * normal(Generator));
    if (Rank == Subject && IsSlow)
      Reading.m_Seconds *= Case.m_Slowness;
    Step.push_back(Reading);
  }
  return Step;
}

StragglerVerdict judge(std::size_t Ranks, const RankCase &Case,
                       std::uint64_t Seed) {
  Random Generator(Seed);
  const StragglerOptions Options;
  StragglerWindow Window;
  const auto SlowSteps = static_cast<std::uint32_t>(
      Case.m_SlowPart * static_cast<double>(Options.m_Window));
  for (std::uint32_t I = 0; I < Options.m_Window; ++I)
    noteStep(Window, Options, readStep(Ranks, Case, I < SlowSteps, Generator));
  return judgeRanks(Window, Options);
}

} // namespace

TEST_CASE("a straggler is told from a rank with hot experts") {
  const auto Case = GENERATE(values<RankCase>({
      {"a rank like its peers", 1, 1, 1, RankVerdict::InLine},
      {"hot experts", 1.8, 1, 1, RankVerdict::HotExperts},
      {"very hot experts", 4, 1, 1, RankVerdict::HotExperts},
      {"cold experts", 0.3, 1, 1, RankVerdict::InLine},
      {"slow by itself", 1, 1.4, 1, RankVerdict::Relieve},
      {"slow with few tokens", 0.5, 1.4, 1, RankVerdict::Relieve},
      {"slow with hot experts", 1.5, 1.4, 1, RankVerdict::Relieve},
      {"too slow to be relieved", 1, 3, 1, RankVerdict::Report},
      {"slow in a few steps only", 1, 1.4, 0.5, RankVerdict::InLine},
      {"slow in most steps", 1, 1.4, 0.85, RankVerdict::Relieve},
  }));
  const auto Ranks = GENERATE(values<std::size_t>({8, 32, 128}));
  for (std::uint64_t Seed = 1; Seed <= 300; ++Seed) {
    INFO(Case.m_Name << ", " << Ranks << " ranks, seed " << Seed);
    const StragglerVerdict Verdict = judge(Ranks, Case, Seed);
    REQUIRE(Verdict.m_Ranks[Subject] == Case.m_Verdict);
    for (std::size_t Rank = 0; Rank < Ranks; ++Rank)
      if (Rank != Subject)
        REQUIRE(Verdict.m_Ranks[Rank] == RankVerdict::InLine);
    const double Slowness = Verdict.m_Slowness.m_Factors[Subject];
    if (Case.m_Verdict == RankVerdict::Relieve)
      REQUIRE(Slowness == Approx(Case.m_Slowness).epsilon(0.1));
    else
      REQUIRE(Slowness == 1.0);
  }
}

TEST_CASE("nothing is judged before the window is full") {
  const StragglerOptions Options;
  StragglerWindow Window;
  CHECK(judgeRanks(Window, Options).m_Ranks.empty());
  Random Generator(1);
  const RankCase Slow{"", 1, 1.5, 1, RankVerdict::Relieve};
  for (std::uint32_t I = 0; I + 1 < Options.m_Window; ++I)
    noteStep(Window, Options, readStep(8, Slow, true, Generator));
  CHECK(judgeRanks(Window, Options).m_Ranks[Subject] == RankVerdict::InLine);
  noteStep(Window, Options, readStep(8, Slow, true, Generator));
  CHECK(judgeRanks(Window, Options).m_Ranks[Subject] == RankVerdict::Relieve);
  // Another number of ranks, or a replaced one, starts it anew.
  noteStep(Window, Options, readStep(9, Slow, true, Generator));
  CHECK(Window.m_Steps.size() == 1);
  forgetSteps(Window);
  CHECK(judgeRanks(Window, Options).m_Ranks.empty());
}

TEST_CASE("too many slow ranks are a doubt about the fit") {
  const StragglerOptions Options;
  StragglerWindow Window;
  Random Generator(4);
  for (std::uint32_t I = 0; I < Options.m_Window; ++I) {
    std::vector<RankReading> Step = readStep(32, {}, false, Generator);
    for (std::size_t Rank = 0; Rank < 8; ++Rank)
      Step[Rank].m_Seconds *= 1.5;
    noteStep(Window, Options, std::move(Step));
  }
  const StragglerVerdict Verdict = judgeRanks(Window, Options);
  CHECK(std::count(Verdict.m_Ranks.begin(), Verdict.m_Ranks.end(),
                   RankVerdict::InLine) == 32);
}
