// Writes events as JSON lines through spdlog.
#include "Events/EventLog.h"

#include <boost/json.hpp>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace mangocart {

namespace {

struct EventEntry {
  std::string_view m_Name;
  EventLevel m_Level;
};

EventEntry describe(Event What) {
  switch (What) {
#define MANGOCART_EVENT(Number, Name, Level, Summary)                          \
  case Event::Name:                                                            \
    return {#Name, EventLevel::Level};
#include "Events/Catalogue.def"
#undef MANGOCART_EVENT
  }
  return {"Unnumbered", EventLevel::Error};
}

std::string_view toText(EventLevel Level) {
  switch (Level) {
  case EventLevel::Debug:
    return "debug";
  case EventLevel::Info:
    return "info";
  case EventLevel::Warn:
    return "warn";
  case EventLevel::Error:
    return "error";
  }
  return "error";
}

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
  Logger->set_level(spdlog::level::info);
  Logger->flush_on(spdlog::level::info);
  return Logger;
}

} // namespace

EventLog::EventLog(EventSource Source, const std::string &File)
    : m_Source(std::move(Source)), m_Logger(makeLogger(File)) {}

EventLog::~EventLog() { m_Logger->flush(); }

void EventLog::write(Event What, std::initializer_list<EventField> Fields) {
  const EventEntry Entry = describe(What);
  const spdlog::level::level_enum Level = toSpdlog(Entry.m_Level);
  if (!m_Logger->should_log(Level))
    return;
  boost::json::object Line;
  Line["hlc"] = toString(m_Clock.now());
  Line["event"] = static_cast<std::uint16_t>(What);
  Line["name"] = Entry.m_Name;
  Line["level"] = toText(Entry.m_Level);
  Line["process"] = m_Source.m_Process;
  Line["machine"] = m_Source.m_Machine;
  Line["zone"] = m_Source.m_AvailabilityZone;
  for (const EventField &Field : Fields)
    std::visit([&](const auto &Value) { Line[Field.m_Name] = Value; },
               Field.m_Value);
  m_Logger->log(Level, "{}", boost::json::serialize(Line));
}

} // namespace mangocart
