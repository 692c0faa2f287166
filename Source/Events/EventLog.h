// Log of numbered events: one JSON object a line, each with a hybrid logical
// clock stamp, so that the logs of all processes merge into one time line.
// Shape of a line: {"hlc":"<ms>.<counter>","event":<number>,"name":"...",
// "level":"...","process":"...","machine":"...","zone":"...", fields...}.
#ifndef MANGOCART_EVENTS_EVENTLOG_H
#define MANGOCART_EVENTS_EVENTLOG_H

#include "Events/EventCatalogue.h"
#include "Events/HybridClock.h"

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace spdlog {
class logger;
namespace details {
class thread_pool;
} // namespace details
} // namespace spdlog

namespace mangocart {

class LogFlusher;

// One named value of an event. The texts are read during the call only.
struct EventField {
  std::string_view m_Name;
  std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool>
      m_Value;

  EventField(std::string_view Name, std::string_view Value)
      : m_Name(Name), m_Value(Value) {}
  EventField(std::string_view Name, const char *Value)
      : m_Name(Name), m_Value(std::string_view(Value)) {}
  EventField(std::string_view Name, const std::string &Value)
      : m_Name(Name), m_Value(std::string_view(Value)) {}
  EventField(std::string_view Name, bool Value)
      : m_Name(Name), m_Value(Value) {}
  EventField(std::string_view Name, double Value)
      : m_Name(Name), m_Value(Value) {}
  template <class T>
  requires(std::is_integral_v<T> &&std::is_signed_v<T>)
      EventField(std::string_view Name, T Value)
      : m_Name(Name), m_Value(static_cast<std::int64_t>(Value)) {}
  template <class T>
  requires(std::is_integral_v<T> &&std::is_unsigned_v<T> &&
           !std::is_same_v<T, bool>) EventField(std::string_view Name, T Value)
      : m_Name(Name), m_Value(static_cast<std::uint64_t>(Value)) {}
};

struct EventSource {
  std::string m_Process;
  std::string m_Machine;
  std::string m_AvailabilityZone;
};

// Names of the fields that tools look for.
struct EventFieldName {
  // Id of the caller's request that the event belongs to.
  static constexpr std::string_view Request = "request";
};

// Safe to call from any thread. Warnings and errors are flushed at once, the
// rest within a second (LogFlusher::Interval); a process that is killed may
// lose what it logged in that time.
class EventLog {
public:
  // In place of a path: lines go to standard output through a bounded queue. A
  // reader that is too slow never holds up the process: the oldest lines are
  // dropped and counted.
  static constexpr std::string_view StandardOutput = "-";

  // Lines go to the file, or to standard error when the path is empty. Events
  // below the least level are dropped.
  EventLog(EventSource Source, const std::string &File,
           EventLevel LeastLevel = EventLevel::Info);
  ~EventLog();
  EventLog(const EventLog &) = delete;
  EventLog &operator=(const EventLog &) = delete;

  // Whether the event would be written; guards fields that are costly to make.
  bool enabled(Event What) const { return levelOf(What) >= m_LeastLevel; }

  void write(Event What, std::initializer_list<EventField> Fields = {}) {
    if (enabled(What))
      writeLine(What, Fields);
  }

  // Writes out what is buffered.
  void flush();

  // Bounds the lines about single requests (events 4000 to 4999); 0: no bound.
  // What was left out in a second is told by one LinesLeftOut.
  void limitRequestLines(std::uint32_t PerSecond) {
    m_RequestLinesPerSecond = PerSecond;
  }
  // Lines that a slow reader has cost since the start.
  std::uint64_t droppedLines() const;

  HybridClock &clock() { return m_Clock; }

private:
  void writeLine(Event What, std::initializer_list<EventField> Fields);
  void writeUnlimited(Event What, std::initializer_list<EventField> Fields);
  // Whether one more line about a request fits into this second.
  bool takeRequestLine();

  EventSource m_Source;
  EventLevel m_LeastLevel;
  HybridClock m_Clock;
  std::uint32_t m_RequestLinesPerSecond = 0;
  // The second that is being counted, its lines, and those left out of it.
  std::mutex m_LineMutex;
  std::int64_t m_LineSecond = 0;
  std::uint32_t m_LinesInSecond = 0;
  std::uint64_t m_LinesLeftOut = 0;
  // Absent but for standard output. Before m_Logger, which uses it.
  std::shared_ptr<spdlog::details::thread_pool> m_Queue;
  std::shared_ptr<spdlog::logger> m_Logger;
  // Absent on standard error, which isn't buffered. After m_Logger: its thread
  // ends first.
  std::unique_ptr<LogFlusher> m_Flusher;
};

} // namespace mangocart

#endif
