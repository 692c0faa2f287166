// Writes events as JSON lines through spdlog.
#include "Events/EventLog.h"

#include "Core/RuntimeClock.h"
#include "Events/LogFlusher.h"

#include <boost/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace mangocart {

namespace {

spdlog::level::level_enum toSpdlog(EventLevel Level) {
  switch (Level) {
  case EventLevel::Debug:
    return spdlog::level::debug;
  case EventLevel::Info:
    return spdlog::level::info;
  case EventLevel::Warn:
    return spdlog::level::warn;
  case EventLevel::Error:
    return spdlog::level::err;
  }
  return spdlog::level::err;
}

// Lines that wait for a slow reader of standard output; about 2 MB at most.
constexpr std::size_t QueueLines = 4096;
constexpr std::uint16_t FirstRequestEvent = 4000;
constexpr std::uint16_t LastRequestEvent = 4999;

bool isAboutRequest(Event What) {
  const auto Number = static_cast<std::uint16_t>(What);
  return Number >= FirstRequestEvent && Number <= LastRequestEvent;
}

std::shared_ptr<spdlog::details::thread_pool>
makeQueue(const std::string &File) {
  if (File != EventLog::StandardOutput)
    return nullptr;
  return std::make_shared<spdlog::details::thread_pool>(QueueLines, 1);
}

std::shared_ptr<spdlog::logger>
makeLogger(const std::string &File,
           const std::shared_ptr<spdlog::details::thread_pool> &Queue) {
  spdlog::sink_ptr Sink;
  if (Queue) {
    auto Logger = std::make_shared<spdlog::async_logger>(
        "events", std::make_shared<spdlog::sinks::stdout_sink_mt>(), Queue,
        spdlog::async_overflow_policy::overrun_oldest);
    Logger->set_pattern("%v");
    Logger->set_level(spdlog::level::trace);
    Logger->flush_on(spdlog::level::warn);
    return Logger;
  }
  if (File.empty())
    Sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  else
    Sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(File);
  auto Logger = std::make_shared<spdlog::logger>("events", std::move(Sink));
  Logger->set_pattern("%v");
  // Levels are checked before a line is made.
  Logger->set_level(spdlog::level::trace);
  Logger->flush_on(spdlog::level::warn);
  return Logger;
}

} // namespace

EventLog::EventLog(EventSource Source, const std::string &File,
                   EventLevel LeastLevel)
    : m_Source(std::move(Source)), m_LeastLevel(LeastLevel),
      m_Queue(makeQueue(File)), m_Logger(makeLogger(File, m_Queue)) {
  if (!File.empty())
    m_Flusher = std::make_unique<LogFlusher>([this] { m_Logger->flush(); });
}

EventLog::~EventLog() {
  m_Flusher.reset();
  m_Logger->flush();
}

void EventLog::flush() { m_Logger->flush(); }

std::uint64_t EventLog::droppedLines() const {
  return m_Queue ? m_Queue->overrun_counter() : 0;
}

bool EventLog::takeRequestLine() {
  const std::int64_t Second = std::chrono::duration_cast<std::chrono::seconds>(
                                  RuntimeClock::now().time_since_epoch())
                                  .count();
  std::uint64_t LeftOut = 0;
  bool Taken = false;
  {
    const std::lock_guard Lock(m_LineMutex);
    if (Second != m_LineSecond) {
      m_LineSecond = Second;
      m_LinesInSecond = 0;
      LeftOut = std::exchange(m_LinesLeftOut, 0);
    }
    Taken = ++m_LinesInSecond <= m_RequestLinesPerSecond;
    if (!Taken)
      ++m_LinesLeftOut;
  }
  if (LeftOut > 0)
    writeUnlimited(Event::LinesLeftOut, {{"lines", LeftOut}});
  return Taken;
}

void EventLog::writeLine(Event What, std::initializer_list<EventField> Fields) {
  if (m_RequestLinesPerSecond > 0 && isAboutRequest(What) && !takeRequestLine())
    return;
  writeUnlimited(What, Fields);
}

void EventLog::writeUnlimited(Event What,
                              std::initializer_list<EventField> Fields) {
  const EventLevel Level = levelOf(What);
  boost::json::object Line;
  Line["hlc"] = toString(m_Clock.now());
  Line["event"] = static_cast<std::uint16_t>(What);
  Line["name"] = nameOf(What);
  Line["level"] = toText(Level);
  Line["process"] = m_Source.m_Process;
  Line["machine"] = m_Source.m_Machine;
  Line["zone"] = m_Source.m_AvailabilityZone;
  for (const EventField &Field : Fields)
    std::visit([&](const auto &Value) { Line[Field.m_Name] = Value; },
               Field.m_Value);
  m_Logger->log(toSpdlog(Level), "{}", boost::json::serialize(Line));
  if (m_Flusher)
    m_Flusher->markDirty();
}

} // namespace mangocart
