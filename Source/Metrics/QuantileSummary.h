// Quantiles over a sliding window. Observations are counted in buckets whose
// bounds grow by a fixed ratio, one set of buckets for each sub-window of a
// ring; reading feeds the buckets of the live sub-windows to
// Boost.Accumulators.
#ifndef MANGOCART_METRICS_QUANTILESUMMARY_H
#define MANGOCART_METRICS_QUANTILESUMMARY_H

#include "Core/RuntimeClock.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <span>
#include <vector>

namespace mangocart {

struct SummarySnapshot {
  // Since the process started.
  std::uint64_t m_TotalCount = 0;
  double m_TotalSum = 0.0;
  // Over the window.
  std::uint64_t m_WindowCount = 0;
  // One value for each quantile asked for; NaN while the window is empty.
  std::vector<double> m_Quantiles;
};

// Safe from any thread. Observing takes no lock but for the first observation
// of a sub-window; an observation that races with the turn of the ring may be
// counted in the neighbouring sub-window or lost from the window (never from
// the totals).
class QuantileSummary {
public:
  static constexpr Duration SubWindow = std::chrono::seconds(10);
  static constexpr std::size_t SubWindowCount = 6;
  // Values outside count as the nearest bound.
  static constexpr double LowestValue = 1e-6;
  static constexpr double HighestValue = 1e6;
  // Bound of a bucket over the bound below it.
  static constexpr double BucketRatio = 1.04;
  // A quantile differs from the exact one by at most this share of it.
  static constexpr double RelativeError = 0.02;

  QuantileSummary();

  void observe(double Value, TimePoint Now);
  SummarySnapshot snapshot(std::span<const double> Quantiles,
                           TimePoint Now) const;

private:
  // ceil(log(HighestValue / LowestValue) / log(BucketRatio)) + 1.
  static constexpr std::size_t BucketCount = 706;

  struct Ring {
    // Number of the sub-window that the counts belong to, from the clock.
    std::atomic<std::int64_t> m_Number{-1};
    std::array<std::atomic<std::uint32_t>, BucketCount> m_Counts{};
  };

  static std::size_t bucketOf(double Value);
  static double middleOf(std::size_t Bucket);
  Ring &current(std::int64_t Number);

  std::vector<Ring> m_Ring;
  // Held while a sub-window is cleared for a new number.
  std::mutex m_TurnMutex;
  std::atomic<std::uint64_t> m_TotalCount{0};
  std::atomic<double> m_TotalSum{0.0};
};

} // namespace mangocart

#endif
