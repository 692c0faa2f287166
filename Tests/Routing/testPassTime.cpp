// The formula of pass times. Guards against a limit of rank groups by wrong
// figures, and against work that is counted at one rank only.
#include "PassModel.h"

#include <catch2/catch.hpp>

using namespace mangocart;

namespace {

constexpr std::uint32_t Ranks = 24;

std::vector<RankWork> evenly(std::uint32_t RequestsPerRank) {
  RankWork Work;
  Work.m_RunningRequests = RequestsPerRank;
  return std::vector<RankWork>(Ranks, Work);
}

} // namespace

TEST_CASE("an idle group's pass takes its decode steps") {
  CHECK(fixedPassMs(tracedFigures()) == Approx(35.1));
  CHECK(passMs(tracedFigures(), evenly(0)) == Approx(35.1));
}

TEST_CASE(
    "a request lengthens the passes of all ranks, experts by their skew") {
  const PassFigures Figures = tracedFigures();
  const double PerRank = 6 * 0.426;
  CHECK(passMs(Figures, evenly(1)) == Approx(35.1 + PerRank));
  std::vector<RankWork> One = evenly(0);
  One[3].m_RunningRequests = 1;
  CHECK(passMs(Figures, One) == Approx(35.1 + PerRank * (0.15 + 0.85 / Ranks)));
  CHECK(passMs(Figures, One, 2.0) ==
        Approx(35.1 + PerRank * (0.15 + 0.85 * 2.0 / Ranks)));
}

TEST_CASE("prefill lengthens a pass, and more so for later tokens") {
  const PassFigures Figures = tracedFigures();
  CHECK(prefillMs(Figures, 1000) == Approx(1000 / 61.2 + 0.5 * 0.325));
  CHECK(prefillMs(Figures, 2000) > 2 * prefillMs(Figures, 1000));
  CHECK(passesPerRequest(Figures) == 23.0);
  // Decoding, context and a 23rd of the prefill, at 24 ranks.
  CHECK(passMsPerGroupRequest(Figures, Ranks) == Approx(0.139).margin(0.003));
}

TEST_CASE("figures that aren't declared add nothing") {
  PassFigures Figures;
  Figures.m_StepMs = 5.0;
  Figures.m_StepsPerPass = 4;
  CHECK(fixedPassMs(Figures) == Approx(20.0));
  CHECK(prefillMs(Figures, 1000) == 0.0);
  CHECK(passMsPerGroupRequest(Figures, 0) == 0.0);
}
