// Prompts are spread over ranks so that short ones don't wait behind long ones.
// Guards against two failures: gateways that don't know of each other's pending
// prompts queue prompts at one rank while others have none, and gateways that
// all compare the same old counts choose the same rank at once.
#include "PrefillModel.h"
#include "Routing/PrefillSpread.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>
#include <set>

using namespace mangocart;

namespace {

constexpr std::uint64_t Seeds = 6;
// As for gaps (Part C of docs/design/README.md): 1 in 100 streams.
constexpr double MaxLateFraction = 0.01;

using Load = std::function<PromptLoad(double Seconds)>;

// Every 2 s, 90 long prompts and 10 short ones arrive within 50 ms.
Load burstsOfLongPrompts(double Rate) {
  return [Rate](double Seconds) {
    constexpr double BurstSeconds = 0.05;
    constexpr double Factor = 10.5;
    return std::fmod(Seconds, 2.0) < BurstSeconds
               ? PromptLoad{Rate * Factor, 0.9}
               : PromptLoad{Rate, 0.05};
  };
}

// 1.55 times the mean at the top, with a period of 13 s; there 60 % are long.
Load wave(double Rate) {
  return [Rate](double Seconds) {
    const double Height = std::sin(Seconds / 13.0 * 2.0 * std::numbers::pi);
    return PromptLoad{Rate * (1.0 + 0.55 * Height), Height > 0.7 ? 0.6 : 0.05};
  };
}

Load onlyLongPrompts(double Rate) {
  return [Rate](double) { return PromptLoad{Rate, 1.0}; };
}

PrefillModelResult runLoad(const Load &Arrivals, RankChoice Choice,
                           std::uint64_t MaxGroupTokens = 0) {
  PrefillModelOptions Options;
  Options.m_Load = Arrivals;
  Options.m_Choice = Choice;
  Options.m_MaxGroupTokens = MaxGroupTokens;
  return runSeeds(Options, Seeds);
}

void checkNoWorse(const PrefillModelResult &Spread,
                  const PrefillModelResult &Score) {
  CHECK(Spread.m_Short.lateFraction() <= Score.m_Short.lateFraction());
  CHECK(Spread.m_Long.lateFraction() <= Score.m_Long.lateFraction());
  CHECK(Spread.m_Short.m_Lost <= Score.m_Short.m_Lost);
  CHECK(Spread.m_Long.m_Lost <= Score.m_Long.m_Lost);
}

} // namespace

TEST_CASE("short prompts behind long ones at one rank") {
  const PrefillModelResult Score =
      runLoad(burstsOfLongPrompts(218.0), RankChoice::Score);
  const PrefillModelResult Spread =
      runLoad(burstsOfLongPrompts(218.0), RankChoice::Parts);
  CHECK(Score.m_Long.lateFraction() > MaxLateFraction);
  CHECK(Spread.m_Short.lateFraction() <= MaxLateFraction);
  CHECK(Spread.m_Long.lateFraction() <= MaxLateFraction);
  checkNoWorse(Spread, Score);
}

TEST_CASE("long prompts at the top of a wave") {
  const PrefillModelResult Spread = runLoad(wave(209.0), RankChoice::Parts);
  CHECK(Spread.m_Short.lateFraction() <= MaxLateFraction);
  CHECK(Spread.m_Long.lateFraction() <= MaxLateFraction);
  checkNoWorse(Spread, runLoad(wave(209.0), RankChoice::Score));
}

TEST_CASE("nothing but long prompts") {
  const PrefillModelResult Score =
      runLoad(onlyLongPrompts(273.0), RankChoice::Score);
  const PrefillModelResult Spread =
      runLoad(onlyLongPrompts(273.0), RankChoice::Parts);
  CHECK(Score.m_Long.lateFraction() > MaxLateFraction);
  CHECK(Spread.m_Long.lateFraction() <= MaxLateFraction);
  checkNoWorse(Spread, Score);
}

// Prompts that are spread better are prefilled in the same pass, which becomes
// longer than the gap target of all streams of the group.
TEST_CASE("bursts of long prompts while passes are near the gap target",
          "[prefill-near-gap-target]") {
  checkNoWorse(runLoad(burstsOfLongPrompts(247.0), RankChoice::Parts),
               runLoad(burstsOfLongPrompts(247.0), RankChoice::Score));
}

TEST_CASE(
    "the rank where the prompt is prefilled first is chosen, then the one "
    "with the fewest requests") {
  constexpr std::uint64_t PerPass = 3000;
  const std::vector<PrefillRank> Ranks = {
      {2900, 0}, {2000, 5}, {0, 4}, {9000, 0}, {1000, 3}};
  Random Generator(1);
  const auto Choose = [&](std::uint64_t Tokens) {
    return chooseRank(Ranks, {Tokens, PerPass, {0, 1}}, Generator);
  };
  // Fits into the next pass at all but the fourth.
  CHECK(Choose(100) == 0);
  CHECK(Choose(1000) == 4);
  CHECK(Choose(3000) == 2);
  // Needs two passes at all but the fourth.
  CHECK(Choose(3001) == 0);
}

TEST_CASE("gateways with the same picture don't all choose the same rank") {
  constexpr std::size_t Gateways = 30;
  std::vector<PrefillRank> Ranks(72, {0, 4});
  const auto ChosenBy = [&](std::size_t Gateway) {
    Random Generator(Gateway);
    return chooseRank(Ranks, {500, 3072, {Gateway, Gateways}}, Generator);
  };
  std::map<std::size_t, int> Chosen;
  for (std::size_t Gateway = 0; Gateway < Gateways; ++Gateway)
    ++Chosen[ChosenBy(Gateway)];
  // A slot of ten is free for each at a rank with four requests.
  CHECK(std::all_of(Chosen.begin(), Chosen.end(),
                    [](const auto &Each) { return Each.second <= 6; }));
  CHECK(Chosen.size() >= Gateways / 2);
  Ranks[40] = {0, 0};
  int AtIdle = 0;
  for (std::size_t Gateway = 0; Gateway < Gateways; ++Gateway)
    AtIdle += ChosenBy(Gateway) == 40 ? 1 : 0;
  CHECK(AtIdle >= 1);
  CHECK(AtIdle <= 10);
}

TEST_CASE("each gateway has a position of its own, in any order of the list") {
  constexpr int Gateways = 30;
  std::vector<std::string> All;
  All.reserve(Gateways);
  for (int I = 0; I < Gateways; ++I)
    All.push_back(fmt::format("10.0.0.{}:7000", I));
  const std::vector<std::string> Reversed(All.rbegin(), All.rend());
  std::set<std::size_t> Positions;
  for (const std::string &Each : All) {
    const GatewayPosition Position = positionOf(Each, All);
    CHECK(Position.m_Count == All.size());
    CHECK(Position == positionOf(Each, Reversed));
    Positions.insert(Position.m_Index);
  }
  CHECK(Positions.size() == All.size());
  CHECK(*Positions.rbegin() == All.size() - 1);
  CHECK(positionOf("unknown", All) == GatewayPosition{});
}

TEST_CASE("prompt tokens of a pass follow from the engine's figures") {
  CHECK(prefillTokensPerPass(512, 6, 61200.0, 5.85) == 3072);
  // Without a limit of a step: what it prefills in 6 steps of 5.85 ms.
  CHECK(prefillTokensPerPass(0, 6, 61200.0, 5.85) == 2148);
  CHECK(prefillTokensPerPass(512, 0, 61200.0, 5.85) == 0);
  CHECK(prefillTokensPerPass(512, 6, 0.0, 5.85) == 0);
  CHECK(prefillTokensPerPass(512, 6, std::numeric_limits<double>::quiet_NaN(),
                             5.85) == 0);
}

TEST_CASE("counts of pending prompt tokens don't wrap, whatever callers say") {
  constexpr std::uint64_t Huge = std::numeric_limits<std::uint64_t>::max();
  PromptTokensByServer Pending;
  addPromptTokens(Pending, 1, 0);
  CHECK(Pending.empty());
  addPromptTokens(Pending, 1, 500);
  addPromptTokens(Pending, 1, Huge);
  CHECK(Pending.at(1) == std::numeric_limits<std::uint32_t>::max());
  removePromptTokens(Pending, 1, Huge);
  removePromptTokens(Pending, 1, 500);
  CHECK(Pending.empty());
}

// Prints the figures of docs/design/LONG-PROMPTS.md.
void printRow(const char *Load, const char *Choice,
              const PrefillModelResult &Result) {
  fmt::print("| {} | {} | {:.4f} | {:.0f} ms | {:.4f} | {:.0f} ms | {:.0f} ms "
             "|\n",
             Load, Choice, Result.m_Short.lateFraction(),
             Result.m_Short.firstEventP99(), Result.m_Long.lateFraction(),
             Result.m_Long.firstEventP99(), Result.m_MaxPassMs);
}

TEST_CASE("figures of the choices of ranks", "[.prefill-figures]") {
  struct Row {
    const char *m_Name;
    RankChoice m_Choice;
    std::uint64_t m_MaxGroupTokens;
  };
  const Row Rows[] = {{"score", RankChoice::Score, 0},
                      {"all ranks", RankChoice::AllRanks, 0},
                      {"two random", RankChoice::TwoRandom, 0},
                      {"parts", RankChoice::Parts, 0},
                      {"parts, bound 60,000", RankChoice::Parts, 60000},
                      {"parts, bound 40,000", RankChoice::Parts, 40000}};
  const std::pair<const char *, Load> Loads[] = {
      {"bursts 218/s", burstsOfLongPrompts(218.0)},
      {"bursts 247/s", burstsOfLongPrompts(247.0)},
      {"wave 209/s", wave(209.0)},
      {"wave 228/s", wave(228.0)},
      {"only long 273/s", onlyLongPrompts(273.0)}};
  for (const auto &[Name, Arrivals] : Loads)
    for (const Row &Each : Rows)
      printRow(Name, Each.m_Name,
               runLoad(Arrivals, Each.m_Choice, Each.m_MaxGroupTokens));
}

TEST_CASE("figures of other fleets, and of failed gateways",
          "[.prefill-figures]") {
  PrefillModelOptions Large;
  Large.m_Gateways = 16;
  Large.m_Groups = 2;
  Large.m_RanksPerGroup = 32;
  PrefillModelOptions OneGroup;
  OneGroup.m_Groups = 1;
  PrefillModelOptions HalfFailed;
  HalfFailed.m_FailedFraction = 0.5;
  struct Fleet {
    const char *m_Name;
    PrefillModelOptions m_Options;
    double m_Rate;
  };
  const Fleet Fleets[] = {{"16 gateways, 2 groups of 32", Large, 190.0},
                          {"30 gateways, 1 group of 24", OneGroup, 73.0},
                          {"half of 30 gateways failed", HalfFailed, 218.0}};
  for (Fleet Each : Fleets)
    for (const auto &[Name, Choice] : {std::pair("score", RankChoice::Score),
                                       std::pair("parts", RankChoice::Parts)}) {
      Each.m_Options.m_Choice = Choice;
      Each.m_Options.m_Load = burstsOfLongPrompts(Each.m_Rate);
      printRow(Each.m_Name, Name, runSeeds(Each.m_Options, Seeds));
    }
}
