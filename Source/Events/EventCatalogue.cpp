// The listing of the numbered events.
#include "Events/EventCatalogue.h"

#include <array>

namespace mangocart {

namespace {

constexpr auto Catalogue = std::to_array<EventDescription>({
#define MANGOCART_EVENT(Number, Name, Level, Summary)                          \
  {Event::Name, #Name, EventLevel::Level, Summary},
#include "Events/Catalogue.def"
#undef MANGOCART_EVENT
});

} // namespace

std::string_view nameOf(Event What) {
  switch (What) {
#define MANGOCART_EVENT(Number, Name, Level, Summary)                          \
  case Event::Name:                                                            \
    return #Name;
#include "Events/Catalogue.def"
#undef MANGOCART_EVENT
  }
  return "Unnumbered";
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

std::span<const EventDescription> eventCatalogue() { return Catalogue; }

} // namespace mangocart
