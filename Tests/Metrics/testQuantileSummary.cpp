// Quantiles stay within the stated error of the exact ones, over the window.
#include "Metrics/QuantileSummary.h"

#include "Core/Random.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

constexpr double Quantiles[] = {0.01, 0.5, 0.95, 0.99, 0.999};

// The smallest value that at least the share of all values doesn't exceed.
double exactQuantile(std::vector<double> Values, double Share) {
  std::sort(Values.begin(), Values.end());
  const double Rank = std::ceil(Share * static_cast<double>(Values.size()));
  return Values[static_cast<std::size_t>(std::max(Rank, 1.0)) - 1];
}

} // namespace

TEST_CASE("quantiles are within the stated error of the exact ones") {
  Random Generator(11);
  const auto Shape = GENERATE(0, 1, 2);
  QuantileSummary Summary;
  std::vector<double> Values;
  for (int Index = 0; Index < 20000; ++Index) {
    const double Draw = uniformReal(Generator);
    const double Value = Shape == 0   ? 0.001 + Draw
                         : Shape == 1 ? 0.01 / (1.0 - Draw)
                                      : (Draw < 0.9 ? 0.02 : 30.0);
    Values.push_back(Value);
    Summary.observe(Value, TimePoint());
  }
  const SummarySnapshot Result = Summary.snapshot(Quantiles, TimePoint());
  for (std::size_t Index = 0; Index < std::size(Quantiles); ++Index) {
    const double Exact = exactQuantile(Values, Quantiles[Index]);
    CAPTURE(Shape, Quantiles[Index]);
    CHECK(std::abs(Result.m_Quantiles[Index] - Exact) <=
          Exact * QuantileSummary::RelativeError);
  }
}

TEST_CASE("values outside the range count as its bounds") {
  QuantileSummary Summary;
  const double Share[] = {0.5};
  const auto Seen = [&](double Value) {
    QuantileSummary Own;
    Own.observe(Value, TimePoint());
    return Own.snapshot(Share, TimePoint()).m_Quantiles[0];
  };
  CHECK(Seen(-1.0) == Approx(QuantileSummary::LowestValue));
  CHECK(Seen(1e9) == Approx(QuantileSummary::HighestValue).epsilon(0.02));
  Summary.observe(NAN, TimePoint());
  CHECK(Summary.snapshot(Share, TimePoint()).m_TotalCount == 0);
}

TEST_CASE("what is older than the window no longer counts, but for totals") {
  RuntimeClock::pause();
  QuantileSummary Summary;
  const double Median[] = {0.5};
  Summary.observe(8.0, RuntimeClock::now());
  RuntimeClock::advance(QuantileSummary::SubWindow * 5);
  Summary.observe(2.0, RuntimeClock::now());
  CHECK(Summary.snapshot({}, RuntimeClock::now()).m_WindowCount == 2);
  RuntimeClock::advance(QuantileSummary::SubWindow);
  const SummarySnapshot Later = Summary.snapshot(Median, RuntimeClock::now());
  CHECK(Later.m_WindowCount == 1);
  CHECK(Later.m_Quantiles[0] == Approx(2.0).epsilon(0.02));
  CHECK(Later.m_TotalCount == 2);
  CHECK(Later.m_TotalSum == 10.0);
  RuntimeClock::advance(1h);
  CHECK(
      std::isnan(Summary.snapshot(Median, RuntimeClock::now()).m_Quantiles[0]));
  RuntimeClock::resume();
}
