// All metrics of a process and their text exposition. Conventions for names and
// labels stand in docs/METRICS.md.
#ifndef MANGOCART_METRICS_METRICREGISTRY_H
#define MANGOCART_METRICS_METRICREGISTRY_H

#include "Core/RuntimeClock.h"
#include "Metrics/Counter.h"
#include "Metrics/Histogram.h"
#include "Metrics/Label.h"
#include "Metrics/QuantileSummary.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

namespace mangocart {

struct MetricLimits {
  // Distinct values of one label in one family; later ones become "other".
  std::size_t m_LabelValues = 100;
  // Series of one family; when they are used up, every label of a new one
  // becomes "other".
  std::size_t m_Series = 1000;

  bool operator==(const MetricLimits &) const = default;
};

// Looking a metric up takes a lock: look it up once and keep the reference,
// which stays valid as long as the registry. Updates of a metric take none.
// A name keeps the type and help of its first use; using it with another type
// is a programming error and throws std::logic_error, as does a name or label
// name outside [a-z_][a-z0-9_]*.
class MetricRegistry {
public:
  // Label value that stands for all values beyond the limits.
  static constexpr std::string_view OtherValue = "other";

  explicit MetricRegistry(MetricLimits Limits = {}) : m_Limits(Limits) {}
  ~MetricRegistry();

  Counter &counter(std::string_view Name, std::string_view Help,
                   const Labels &Labels = {});
  Gauge &gauge(std::string_view Name, std::string_view Help,
               const Labels &Labels = {});
  QuantileSummary &summary(std::string_view Name, std::string_view Help,
                           const Labels &Labels = {});

  // Latencies that are added up over processes.
  Histogram &histogram(std::string_view Name, std::string_view Help,
                       const Labels &Labels = {});

  // For a value that is kept elsewhere. Read runs at each exposition, on its
  // thread, and must not use the registry; it stays valid as long as the
  // registry is exposed. A series that exists already is a programming error.
  void counterFrom(std::string_view Name, std::string_view Help,
                   std::function<std::uint64_t()> Read,
                   const Labels &Labels = {});
  void gaugeFrom(std::string_view Name, std::string_view Help,
                 std::function<double()> Read, const Labels &Labels = {});

  // The text of all metrics, families and series in a fixed order. Summaries
  // show the quantiles 0.5, 0.95 and 0.99 of the window.
  std::string expose(TimePoint Now) const;

private:
  enum class Kind { Counter, Gauge, Summary, Histogram };

  // One of them is set.
  struct Series {
    std::unique_ptr<Counter> m_Counter;
    std::unique_ptr<Gauge> m_Gauge;
    std::unique_ptr<QuantileSummary> m_Summary;
    std::unique_ptr<Histogram> m_Histogram;
    std::function<std::uint64_t()> m_ReadCounter;
    std::function<double()> m_ReadGauge;
  };

  struct Family {
    Kind m_Kind;
    std::string m_Help;
    // Per label name, the values that have series of their own.
    std::map<std::string, std::set<std::string>> m_Values;
    // Sorted labels to series.
    std::map<Labels, Series> m_Series;
  };

  Series &series(Kind Wanted, std::string_view Name, std::string_view Help,
                 const Labels &Given);
  Series &newSeries(Kind Wanted, std::string_view Name, std::string_view Help,
                    const Labels &Given);
  static void requireNotRead(const Series &Own, std::string_view Name);
  Labels fold(Family &Of, const Labels &Given) const;
  static std::string_view kindName(Kind Of);
  static void exposeSeries(std::string &Text, const std::string &Name,
                           const Labels &Of, const Series &Each, TimePoint Now);

  const MetricLimits m_Limits;
  mutable std::mutex m_Mutex;
  // Guarded by m_Mutex; the metrics inside are not.
  std::map<std::string, Family, std::less<>> m_Families;
};

} // namespace mangocart

#endif
