// Lookup and exposition of metrics.
#include "Metrics/MetricRegistry.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace mangocart {

namespace {

constexpr double ShownQuantiles[] = {0.5, 0.95, 0.99};

bool isName(std::string_view Name) {
  const auto IsLetter = [](char Each) {
    return (Each >= 'a' && Each <= 'z') || Each == '_';
  };
  const auto IsDigit = [](char Each) { return Each >= '0' && Each <= '9'; };
  return !Name.empty() && IsLetter(Name.front()) &&
         std::all_of(Name.begin(), Name.end(), [&](char Each) {
           return IsLetter(Each) || IsDigit(Each);
         });
}

void requireName(std::string_view Name) {
  if (!isName(Name))
    throw std::logic_error(fmt::format(
        "metric or label \"{}\": expected a name of a-z, 0-9 and _", Name));
}

// Backslash, line end and, in label values, the quote are escaped.
std::string escape(std::string_view Text, bool WithQuote) {
  std::string Escaped;
  Escaped.reserve(Text.size());
  for (const char Each : Text) {
    if (Each == '\n') {
      Escaped += "\\n";
      continue;
    }
    if (Each == '\\' || (WithQuote && Each == '"'))
      Escaped += '\\';
    Escaped += Each;
  }
  return Escaped;
}

std::string renderLabels(const Labels &Of, std::string_view Extra = {}) {
  std::string Text;
  for (const Label &Each : Of)
    Text += fmt::format("{}{}=\"{}\"", Text.empty() ? "" : ",", Each.m_Name,
                        escape(Each.m_Value, true));
  if (!Extra.empty())
    Text += fmt::format("{}{}", Text.empty() ? "" : ",", Extra);
  return Text.empty() ? Text : "{" + Text + "}";
}

std::string renderValue(double Value) {
  if (std::isnan(Value))
    return "NaN";
  if (std::isinf(Value))
    return Value > 0 ? "+Inf" : "-Inf";
  return fmt::format("{}", Value);
}

} // namespace

MetricRegistry::~MetricRegistry() = default;

Labels MetricRegistry::fold(Family &Of, const Labels &Given) const {
  Labels Folded = Given;
  std::sort(Folded.begin(), Folded.end());
  if (Of.m_Series.contains(Folded))
    return Folded;
  const bool Full = Of.m_Series.size() >= m_Limits.m_Series;
  for (Label &Each : Folded) {
    std::set<std::string> &Known = Of.m_Values[Each.m_Name];
    const bool Kept = !Full && (Known.contains(Each.m_Value) ||
                                Known.size() < m_Limits.m_LabelValues);
    if (Kept)
      Known.insert(Each.m_Value);
    else
      Each.m_Value = OtherValue;
  }
  return Folded;
}

MetricRegistry::Series &MetricRegistry::series(Kind Wanted,
                                               std::string_view Name,
                                               std::string_view Help,
                                               const Labels &Given) {
  requireName(Name);
  for (const Label &Each : Given)
    requireName(Each.m_Name);
  auto Found = m_Families.find(Name);
  if (Found == m_Families.end())
    Found = m_Families
                .emplace(std::string(Name),
                         Family{Wanted, std::string(Help), {}, {}})
                .first;
  if (Found->second.m_Kind != Wanted)
    throw std::logic_error(fmt::format("metric \"{}\" is a {}, not a {}", Name,
                                       kindName(Found->second.m_Kind),
                                       kindName(Wanted)));
  return Found->second.m_Series[fold(Found->second, Given)];
}

MetricRegistry::Series &MetricRegistry::newSeries(Kind Wanted,
                                                  std::string_view Name,
                                                  std::string_view Help,
                                                  const Labels &Given) {
  Series &Own = series(Wanted, Name, Help, Given);
  requireNotRead(Own, Name);
  if (Own.m_Counter || Own.m_Gauge)
    throw std::logic_error(
        fmt::format("metric \"{}\" has this series already", Name));
  return Own;
}

void MetricRegistry::requireNotRead(const Series &Own, std::string_view Name) {
  if (Own.m_ReadCounter || Own.m_ReadGauge)
    throw std::logic_error(
        fmt::format("metric \"{}\" is read from elsewhere", Name));
}

void MetricRegistry::counterFrom(std::string_view Name, std::string_view Help,
                                 std::function<std::uint64_t()> Read,
                                 const Labels &Labels) {
  const std::lock_guard Lock(m_Mutex);
  newSeries(Kind::Counter, Name, Help, Labels).m_ReadCounter = std::move(Read);
}

void MetricRegistry::gaugeFrom(std::string_view Name, std::string_view Help,
                               std::function<double()> Read,
                               const Labels &Labels) {
  const std::lock_guard Lock(m_Mutex);
  newSeries(Kind::Gauge, Name, Help, Labels).m_ReadGauge = std::move(Read);
}

Counter &MetricRegistry::counter(std::string_view Name, std::string_view Help,
                                 const Labels &Labels) {
  const std::lock_guard Lock(m_Mutex);
  Series &Own = series(Kind::Counter, Name, Help, Labels);
  requireNotRead(Own, Name);
  if (!Own.m_Counter)
    Own.m_Counter = std::make_unique<Counter>();
  return *Own.m_Counter;
}

Gauge &MetricRegistry::gauge(std::string_view Name, std::string_view Help,
                             const Labels &Labels) {
  const std::lock_guard Lock(m_Mutex);
  Series &Own = series(Kind::Gauge, Name, Help, Labels);
  requireNotRead(Own, Name);
  if (!Own.m_Gauge)
    Own.m_Gauge = std::make_unique<Gauge>();
  return *Own.m_Gauge;
}

QuantileSummary &MetricRegistry::summary(std::string_view Name,
                                         std::string_view Help,
                                         const Labels &Labels) {
  const std::lock_guard Lock(m_Mutex);
  Series &Own = series(Kind::Summary, Name, Help, Labels);
  if (!Own.m_Summary)
    Own.m_Summary = std::make_unique<QuantileSummary>();
  return *Own.m_Summary;
}

Histogram &MetricRegistry::histogram(std::string_view Name,
                                     std::string_view Help,
                                     const Labels &Labels) {
  const std::lock_guard Lock(m_Mutex);
  Series &Own = series(Kind::Histogram, Name, Help, Labels);
  if (!Own.m_Histogram)
    Own.m_Histogram = std::make_unique<Histogram>();
  return *Own.m_Histogram;
}

std::string_view MetricRegistry::kindName(Kind Of) {
  switch (Of) {
  case Kind::Counter:
    return "counter";
  case Kind::Gauge:
    return "gauge";
  case Kind::Summary:
    return "summary";
  case Kind::Histogram:
    return "histogram";
  }
  return "untyped";
}

void MetricRegistry::exposeSeries(std::string &Text, const std::string &Name,
                                  const Labels &Of, const Series &Each,
                                  TimePoint Now) {
  const std::string Shown = renderLabels(Of);
  if (Each.m_Counter)
    Text += fmt::format("{}{} {}\n", Name, Shown, Each.m_Counter->value());
  if (Each.m_Gauge)
    Text += fmt::format("{}{} {}\n", Name, Shown,
                        renderValue(Each.m_Gauge->value()));
  if (Each.m_ReadCounter)
    Text += fmt::format("{}{} {}\n", Name, Shown, Each.m_ReadCounter());
  if (Each.m_ReadGauge)
    Text +=
        fmt::format("{}{} {}\n", Name, Shown, renderValue(Each.m_ReadGauge()));
  if (Each.m_Histogram) {
    std::string Inner = renderLabels(Of);
    if (!Inner.empty())
      Inner = Inner.substr(1, Inner.size() - 2);
    Text += Each.m_Histogram->expose(Name, Inner);
  }
  if (!Each.m_Summary)
    return;
  const SummarySnapshot Values = Each.m_Summary->snapshot(ShownQuantiles, Now);
  for (std::size_t Index = 0; Index < std::size(ShownQuantiles); ++Index) {
    const std::string Quantile =
        fmt::format("quantile=\"{}\"", ShownQuantiles[Index]);
    Text += fmt::format("{}{} {}\n", Name, renderLabels(Of, Quantile),
                        renderValue(Values.m_Quantiles[Index]));
  }
  Text +=
      fmt::format("{}_sum{} {}\n", Name, Shown, renderValue(Values.m_TotalSum));
  Text += fmt::format("{}_count{} {}\n", Name, Shown, Values.m_TotalCount);
}

std::string MetricRegistry::expose(TimePoint Now) const {
  const std::lock_guard Lock(m_Mutex);
  std::string Text;
  for (const auto &[Name, Of] : m_Families) {
    Text += fmt::format("# HELP {} {}\n# TYPE {} {}\n", Name,
                        escape(Of.m_Help, false), Name, kindName(Of.m_Kind));
    for (const auto &[Own, Each] : Of.m_Series)
      exposeSeries(Text, Name, Own, Each, Now);
  }
  return Text;
}

} // namespace mangocart
