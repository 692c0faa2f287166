// Sliding-window quantiles.
#include "Metrics/QuantileSummary.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/accumulators/statistics/tail_variate.hpp>
#include <boost/accumulators/statistics/weighted_tail_quantile.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace mangocart {

namespace {

namespace accumulators = boost::accumulators;

// The cache holds every bucket, so the quantile of the weighted buckets is
// exact.
using BucketQuantile = accumulators::accumulator_set<
    double,
    accumulators::stats<
        accumulators::tag::weighted_tail_quantile<accumulators::left>>,
    double>;

std::int64_t subWindowNumber(TimePoint Now) {
  return Now.time_since_epoch() / QuantileSummary::SubWindow;
}

} // namespace

QuantileSummary::QuantileSummary() : m_Ring(SubWindowCount) {}

std::size_t QuantileSummary::bucketOf(double Value) {
  if (!(Value > LowestValue))
    return 0;
  const double Steps = std::log(std::min(Value, HighestValue) / LowestValue) /
                       std::log(BucketRatio);
  return std::min(static_cast<std::size_t>(std::lround(Steps)),
                  BucketCount - 1);
}

double QuantileSummary::middleOf(std::size_t Bucket) {
  return LowestValue * std::pow(BucketRatio, static_cast<double>(Bucket));
}

QuantileSummary::Ring &QuantileSummary::current(std::int64_t Number) {
  Ring &Own = m_Ring[static_cast<std::size_t>(Number) % SubWindowCount];
  if (Own.m_Number.load(std::memory_order_acquire) == Number)
    return Own;
  const std::lock_guard Lock(m_TurnMutex);
  // A thread that is late doesn't turn the ring back.
  if (Own.m_Number.load(std::memory_order_relaxed) >= Number)
    return Own;
  for (std::atomic<std::uint32_t> &Count : Own.m_Counts)
    Count.store(0, std::memory_order_relaxed);
  Own.m_Number.store(Number, std::memory_order_release);
  return Own;
}

void QuantileSummary::observe(double Value, TimePoint Now) {
  if (std::isnan(Value))
    return;
  m_TotalCount.fetch_add(1, std::memory_order_relaxed);
  m_TotalSum.fetch_add(Value, std::memory_order_relaxed);
  current(subWindowNumber(Now))
      .m_Counts[bucketOf(Value)]
      .fetch_add(1, std::memory_order_relaxed);
}

SummarySnapshot QuantileSummary::snapshot(std::span<const double> Quantiles,
                                          TimePoint Now) const {
  SummarySnapshot Result;
  Result.m_TotalCount = m_TotalCount.load(std::memory_order_relaxed);
  Result.m_TotalSum = m_TotalSum.load(std::memory_order_relaxed);

  const std::int64_t Newest = subWindowNumber(Now);
  const std::int64_t Oldest =
      Newest - static_cast<std::int64_t>(SubWindowCount) + 1;
  std::array<std::uint64_t, BucketCount> Sums{};
  for (const Ring &Each : m_Ring) {
    const std::int64_t Number = Each.m_Number.load(std::memory_order_acquire);
    if (Number < Oldest || Number > Newest)
      continue;
    for (std::size_t Bucket = 0; Bucket < BucketCount; ++Bucket)
      Sums[Bucket] += Each.m_Counts[Bucket].load(std::memory_order_relaxed);
  }

  BucketQuantile Accumulator(
      accumulators::tag::tail<accumulators::left>::cache_size = BucketCount);
  for (std::size_t Bucket = 0; Bucket < BucketCount; ++Bucket) {
    if (Sums[Bucket] == 0)
      continue;
    Result.m_WindowCount += Sums[Bucket];
    Accumulator(middleOf(Bucket),
                accumulators::weight = static_cast<double>(Sums[Bucket]));
  }
  Result.m_Quantiles.reserve(Quantiles.size());
  for (const double Quantile : Quantiles)
    Result.m_Quantiles.push_back(
        Result.m_WindowCount == 0
            ? std::numeric_limits<double>::quiet_NaN()
            : accumulators::quantile(
                  Accumulator, accumulators::quantile_probability = Quantile));
  return Result;
}

} // namespace mangocart
