// Conversion of faults from and to JSON. One table holds the keys, so that
// parsing, output and the error for an unknown key agree.
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
  // Returns false if the value has the wrong type or is out of range.
  std::function<bool(Faults &, const json::value &)> m_Parse;
  std::function<json::value(const Faults &)> m_ToJson;
};

std::optional<std::uint64_t> toUnsigned(const json::value &Value) {
  boost::system::error_code Error;
  const auto Number = Value.to_number<std::uint64_t>(Error);
  if (Error || !Value.is_number())
    return std::nullopt;
  return Number;
}

FaultKey flagKey(std::string_view Name, bool Faults::*Member) {
  return {Name, "true or false",
          [Member](Faults &Settings, const json::value &Value) {
            if (Value.is_bool())
              Settings.*Member = Value.get_bool();
            return Value.is_bool();
          },
          [Member](const Faults &Settings) {
            return json::value(Settings.*Member);
          }};
}

FaultKey durationKey(std::string_view Name, Duration Faults::*Member) {
  return {
      Name, "a number of milliseconds, at least 0",
      [Member](Faults &Settings, const json::value &Value) {
        const auto Count = toUnsigned(Value);
        if (Count)
          Settings.*Member = std::chrono::milliseconds(*Count);
        return Count.has_value();
      },
      [Member](const Faults &Settings) {
        using std::chrono::duration_cast;
        return json::value(
            duration_cast<std::chrono::milliseconds>(Settings.*Member).count());
      }};
}

FaultKey numberKey(std::string_view Name, double Faults::*Member, double Max,
                   std::string_view Expected) {
  return {Name, Expected,
          [Member, Max](Faults &Settings, const json::value &Value) {
            if (!Value.is_number())
              return false;
            const double Number = Value.to_number<double>();
            Settings.*Member = Number;
            return Number >= 0 && Number <= Max;
          },
          [Member](const Faults &Settings) {
            return json::value(Settings.*Member);
          }};
}

FaultKey cutAfterBytesKey() {
  return {"cut_after_bytes", "a number of bytes",
          [](Faults &Settings, const json::value &Value) {
            Settings.m_CutAfterBytes = toUnsigned(Value);
            return Value.is_null() || Settings.m_CutAfterBytes.has_value();
          },
          [](const Faults &Settings) {
            return Settings.m_CutAfterBytes
                       ? json::value(*Settings.m_CutAfterBytes)
                       : json::value(nullptr);
          }};
}

FaultKey requestsKey() {
  return {
      "requests", "a number of requests",
      [](Faults &Settings, const json::value &Value) {
        const auto Count = toUnsigned(Value);
        Settings.m_Requests = Count.value_or(0);
        return Count.has_value();
      },
      [](const Faults &Settings) { return json::value(Settings.m_Requests); }};
}

const std::vector<FaultKey> &faultKeys() {
  constexpr double MaxSlowFactor = 1e6;
  static const std::vector<FaultKey> Keys{
      flagKey("stall", &Faults::m_Stall),
      flagKey("stall_health", &Faults::m_StallHealth),
      numberKey("slow_factor", &Faults::m_SlowFactor, MaxSlowFactor,
                "a factor of at least 0"),
      flagKey("refuse", &Faults::m_Refuse),
      flagKey("die", &Faults::m_Die),
      flagKey("die_after_run", &Faults::m_DieAfterRun),
      cutAfterBytesKey(),
      flagKey("drop_answer", &Faults::m_DropAnswer),
      durationKey("delay_ms", &Faults::m_Delay),
      durationKey("cache_event_lag_ms", &Faults::m_CacheEventLag),
      numberKey("cache_event_gaps", &Faults::m_CacheEventGaps, 1.0,
                "a fraction from 0 to 1"),
      requestsKey()};
  return Keys;
}

const FaultKey *findKey(std::string_view Name) {
  for (const FaultKey &Key : faultKeys())
    if (Key.m_Name == Name)
      return &Key;
  return nullptr;
}

InvalidBodyError unknownFaultError(std::string_view Name) {
  std::string Known;
  for (const FaultKey &Key : faultKeys())
    Known.append(Known.empty() ? "" : ", ").append(Key.m_Name);
  return {"unknown fault '" + std::string(Name) + "', expected one of " +
          Known};
}

} // namespace

Result<Faults, InvalidBodyError> parseFaults(std::string_view Json) {
  boost::system::error_code Error;
  const json::value Body =
      json::parse(json::string_view(Json.data(), Json.size()), Error);
  if (Error || !Body.is_object())
    return InvalidBodyError{"expected a JSON object of faults"};
  Faults Settings;
  for (const auto &Member : Body.get_object()) {
    const std::string_view Name(Member.key().data(), Member.key().size());
    const FaultKey *Key = findKey(Name);
    if (!Key)
      return unknownFaultError(Name);
    if (!Key->m_Parse(Settings, Member.value()))
      return InvalidBodyError{"fault '" + std::string(Name) + "': expected " +
                              std::string(Key->m_Expected)};
  }
  return Settings;
}

std::string toJson(const Faults &Settings) {
  json::object Out;
  for (const FaultKey &Key : faultKeys())
    Out[json::string_view(Key.m_Name.data(), Key.m_Name.size())] =
        Key.m_ToJson(Settings);
  return json::serialize(Out);
}

} // namespace mangocart
