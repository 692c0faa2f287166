// An event ends with an empty line.
#include "Gateway/EventStreamSplitter.h"

#include <algorithm>

namespace mangocart {

namespace {

// Position after the last empty line; 0 if there is none. There is none within
// the first KnownIncomplete bytes. Without that, an event that arrives byte by
// byte would take time that grows with the square of its size.
std::size_t endOfEvents(std::string_view Text, std::size_t KnownIncomplete) {
  constexpr std::size_t LongestEnd = std::string_view("\r\n\r\n").size();
  const std::size_t Begin =
      KnownIncomplete - std::min(KnownIncomplete, LongestEnd - 1);
  const std::string_view New = Text.substr(Begin);
  const std::size_t Short = New.rfind("\n\n");
  const std::size_t Long = New.rfind("\r\n\r\n");
  std::size_t End = 0;
  if (Short != std::string_view::npos)
    End = Begin + Short + 2;
  if (Long != std::string_view::npos)
    End = std::max(End, Begin + Long + 4);
  return End;
}

} // namespace

std::string EventStreamSplitter::take(std::string_view Bytes) {
  const std::size_t KnownIncomplete = m_Pending.size();
  m_Pending.append(Bytes);
  const std::size_t End = endOfEvents(m_Pending, KnownIncomplete);
  std::string Events = m_Pending.substr(0, End);
  m_Pending.erase(0, End);
  noteIds(Events);
  return Events;
}

void EventStreamSplitter::noteIds(std::string_view Events) {
  constexpr std::string_view Field("id:");
  while (!Events.empty()) {
    const std::size_t End = std::min(Events.find('\n'), Events.size());
    std::string_view Line = Events.substr(0, End);
    Events.remove_prefix(std::min(End + 1, Events.size()));
    if (!Line.starts_with(Field))
      continue;
    Line.remove_prefix(Field.size());
    if (Line.ends_with('\r'))
      Line.remove_suffix(1);
    if (Line.starts_with(' '))
      Line.remove_prefix(1);
    m_LastId = std::string(Line);
  }
}

} // namespace mangocart
