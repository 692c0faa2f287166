// The catalogue of numbered events as data: number, name, level and summary of
// each. docs/EVENTS.md explains them to operators.
#ifndef MANGOCART_EVENTS_EVENTCATALOGUE_H
#define MANGOCART_EVENTS_EVENTCATALOGUE_H

#include <cstdint>
#include <span>
#include <string_view>

namespace mangocart {

enum class EventLevel { Debug, Info, Warn, Error };

enum class Event : std::uint16_t {
#define MANGOCART_EVENT(Number, Name, Level, Summary) Name = Number,
#include "Events/Catalogue.def"
#undef MANGOCART_EVENT
};

struct EventDescription {
  Event m_Event;
  std::string_view m_Name;
  EventLevel m_Level;
  std::string_view m_Summary;

  bool operator==(const EventDescription &) const = default;
};

// Level of an event; folds to a constant where the event is one.
constexpr EventLevel levelOf(Event What) {
  switch (What) {
#define MANGOCART_EVENT(Number, Name, Level, Summary)                          \
  case Event::Name:                                                            \
    return EventLevel::Level;
#include "Events/Catalogue.def"
#undef MANGOCART_EVENT
  }
  return EventLevel::Error;
}

// Name of an event; "Unnumbered" for a value outside the catalogue.
std::string_view nameOf(Event What);

// "debug", "info", "warn" or "error", as in the log.
std::string_view toText(EventLevel Level);

// Every event, in the order of Catalogue.def.
std::span<const EventDescription> eventCatalogue();

} // namespace mangocart

#endif
