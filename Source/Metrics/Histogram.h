// Counts of observations by fixed upper bounds, as scrapers add them up over
// processes.
#ifndef MANGOCART_METRICS_HISTOGRAM_H
#define MANGOCART_METRICS_HISTOGRAM_H

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace mangocart {

// Safe from any thread without a lock.
class Histogram {
public:
  // Seconds; the last bucket, without a bound, takes the rest.
  static constexpr std::array<double, 14> Bounds = {
      0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.2,
      0.3,   0.4,  0.6,   1.0,  2.0, 4.0,  8.0};

  void observe(double Seconds);
  std::uint64_t count() const;
  // The lines of the text format; Labels are those of the series, without
  // braces, empty for none.
  std::string expose(std::string_view Name, std::string_view Labels) const;

private:
  std::array<std::atomic<std::uint64_t>, Bounds.size() + 1> m_Counts{};
  std::atomic<double> m_Sum{0.0};
};

} // namespace mangocart

#endif
