// Buckets, summed up when they are read.
#include "Metrics/Histogram.h"

#include <fmt/format.h>

#include <algorithm>

namespace mangocart {

void Histogram::observe(double Seconds) {
  const auto *const Bound =
      std::lower_bound(Bounds.begin(), Bounds.end(), Seconds);
  m_Counts[static_cast<std::size_t>(Bound - Bounds.begin())].fetch_add(
      1, std::memory_order_relaxed);
  m_Sum.fetch_add(Seconds, std::memory_order_relaxed);
}

std::uint64_t Histogram::count() const {
  std::uint64_t Sum = 0;
  for (const auto &Each : m_Counts)
    Sum += Each.load(std::memory_order_relaxed);
  return Sum;
}

std::string Histogram::expose(std::string_view Name,
                              std::string_view Labels) const {
  const std::string Before = Labels.empty() ? "" : fmt::format("{},", Labels);
  const std::string Braced =
      Labels.empty() ? "" : fmt::format("{{{}}}", Labels);
  std::string Text;
  std::uint64_t Sum = 0;
  for (std::size_t I = 0; I <= Bounds.size(); ++I) {
    Sum += m_Counts[I].load(std::memory_order_relaxed);
    const std::string Bound =
        I < Bounds.size() ? fmt::format("{}", Bounds[I]) : "+Inf";
    Text +=
        fmt::format("{}_bucket{{{}le=\"{}\"}} {}\n", Name, Before, Bound, Sum);
  }
  return Text + fmt::format("{0}_sum{1} {2}\n{0}_count{1} {3}\n", Name, Braced,
                            m_Sum.load(std::memory_order_relaxed), Sum);
}

} // namespace mangocart
