// Writes events as JSON lines through spdlog.
#include "Events/EventLog.h"

#include "Events/LogFlusher.h"

#include <boost/json.hpp>
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

std::shared_ptr<spdlog::logger> makeLogger(const std::string &File) {
  spdlog::sink_ptr Sink;
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
      m_Logger(makeLogger(File)) {
  if (!File.empty())
    m_Flusher = std::make_unique<LogFlusher>([this] { m_Logger->flush(); });
}

EventLog::~EventLog() {
  m_Flusher.reset();
  m_Logger->flush();
}

void EventLog::flush() { m_Logger->flush(); }

void EventLog::writeLine(Event What, std::initializer_list<EventField> Fields) {
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
