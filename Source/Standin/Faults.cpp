// Faults from and to JSON. One table holds the keys, so that reading, showing
// and the error for an unknown key agree.
#include "Standin/Faults.h"

#include <boost/json.hpp>

#include <functional>
#include <vector>

namespace mangocart {

namespace json = boost::json;

namespace {

struct FaultKey {
  std::string_view m_Name;
  std::string_view m_Expected;
  // False when the value has the wrong type or is out of range.
  std::function<bool(Faults &, const json::value &)> m_Read;
  std::function<json::value(const Faults &)> m_Show;
};

std::optional<std::uint64_t> asCount(const json::value &Value) {
  boost::system::error_code Error;
  const auto Number = Value.to_number<std::uint64_t>(Error);
  if (Error || !Value.is_number())
    return std::nullopt;
  return Number;
}

FaultKey flag(std::string_view Name, bool Faults::*Member) {
  return {Name, "true or false",
          [Member](Faults &Set, const json::value &Value) {
            if (Value.is_bool())
              Set.*Member = Value.get_bool();
            return Value.is_bool();
          },
          [Member](const Faults &Set) { return json::value(Set.*Member); }};
}

FaultKey milliseconds(std::string_view Name, Duration Faults::*Member) {
  return {Name, "a number of milliseconds, at least 0",
          [Member](Faults &Set, const json::value &Value) {
            const auto Count = asCount(Value);
            if (Count)
              Set.*Member = std::chrono::milliseconds(*Count);
            return Count.has_value();
          },
          [Member](const Faults &Set) {
            using std::chrono::duration_cast;
            return json::value(
                duration_cast<std::chrono::milliseconds>(Set.*Member).count());
          }};
}

FaultKey real(std::string_view Name, double Faults::*Member, double Max,
              std::string_view Expected) {
  return {Name, Expected,
          [Member, Max](Faults &Set, const json::value &Value) {
            if (!Value.is_number())
              return false;
            const double Number = Value.to_number<double>();
            Set.*Member = Number;
            return Number >= 0 && Number <= Max;
          },
          [Member](const Faults &Set) { return json::value(Set.*Member); }};
}

FaultKey cutAfterBytes() {
  return {"cut_after_bytes", "a number of bytes",
          [](Faults &Set, const json::value &Value) {
            Set.m_CutAfterBytes = asCount(Value);
            return Value.is_null() || Set.m_CutAfterBytes.has_value();
          },
          [](const Faults &Set) {
            return Set.m_CutAfterBytes ? json::value(*Set.m_CutAfterBytes)
                                       : json::value(nullptr);
          }};
}

FaultKey requests() {
  return {"requests", "a number of requests",
          [](Faults &Set, const json::value &Value) {
            const auto Count = asCount(Value);
            Set.m_Requests = Count.value_or(0);
            return Count.has_value();
          },
          [](const Faults &Set) { return json::value(Set.m_Requests); }};
}

const std::vector<FaultKey> &faultKeys() {
  constexpr double MaxSlowFactor = 1e6;
  static const std::vector<FaultKey> Keys{
      flag("stall", &Faults::m_Stall),
      flag("stall_health", &Faults::m_StallHealth),
      real("slow_factor", &Faults::m_SlowFactor, MaxSlowFactor,
           "a factor of at least 0"),
      flag("refuse", &Faults::m_Refuse),
      flag("die", &Faults::m_Die),
      flag("die_after_run", &Faults::m_DieAfterRun),
      cutAfterBytes(),
      flag("drop_answer", &Faults::m_DropAnswer),
      milliseconds("delay_ms", &Faults::m_Delay),
      milliseconds("cache_event_lag_ms", &Faults::m_CacheEventLag),
      real("cache_event_gaps", &Faults::m_CacheEventGaps, 1.0,
           "a share from 0 to 1"),
      requests()};
  return Keys;
}

const FaultKey *findKey(std::string_view Name) {
  for (const FaultKey &Key : faultKeys())
    if (Key.m_Name == Name)
      return &Key;
  return nullptr;
}

FaultError unknownKey(std::string_view Name) {
  std::string Known;
  for (const FaultKey &Key : faultKeys())
    Known.append(Known.empty() ? "" : ", ").append(Key.m_Name);
  return {"unknown fault '" + std::string(Name) + "', expected one of " +
          Known};
}

} // namespace

Result<Faults, FaultError> parseFaults(std::string_view Json) {
  boost::system::error_code Error;
  const json::value Body =
      json::parse(json::string_view(Json.data(), Json.size()), Error);
  if (Error || !Body.is_object())
    return FaultError{"expected a JSON object of faults"};
  Faults Set;
  for (const auto &Member : Body.get_object()) {
    const std::string_view Name(Member.key().data(), Member.key().size());
    const FaultKey *Key = findKey(Name);
    if (!Key)
      return unknownKey(Name);
    if (!Key->m_Read(Set, Member.value()))
      return FaultError{"fault '" + std::string(Name) + "': expected " +
                        std::string(Key->m_Expected)};
  }
  return Set;
}

std::string toJson(const Faults &Set) {
  json::object Out;
  for (const FaultKey &Key : faultKeys())
    Out[json::string_view(Key.m_Name.data(), Key.m_Name.size())] =
        Key.m_Show(Set);
  return json::serialize(Out);
}

} // namespace mangocart
