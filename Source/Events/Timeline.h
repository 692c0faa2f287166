// Merges the event logs of several processes into one order by hybrid stamp.
// The merge streams: memory is bounded by the number of logs, not their length.
#ifndef MANGOCART_EVENTS_TIMELINE_H
#define MANGOCART_EVENTS_TIMELINE_H

#include "Core/Result.h"

#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <span>
#include <string>
#include <vector>

namespace mangocart {

enum class TimelineFormat { Text, Json };

struct TimelineOptions {
  TimelineFormat m_Format = TimelineFormat::Text;
  // Only events of this request; empty: all events.
  std::string m_Request;

  bool operator==(const TimelineOptions &) const = default;
};

// A log to merge. The stream is read once, from its present position.
struct TimelineInput {
  std::string m_Name;
  std::istream *m_Stream;
};

// A line that is left out because it isn't an event, such as the torn last
// line of a process that was killed.
struct TimelineFault {
  std::string m_File;
  std::uint64_t m_Line;
  std::string m_Expected;

  bool operator==(const TimelineFault &) const = default;
};

struct TimelineReport {
  std::uint64_t m_Written = 0;
  // Events further out of order in their own log than the merge looks ahead;
  // they are written where they were found.
  std::uint64_t m_Late = 0;
  std::uint64_t m_FaultCount = 0;
  // The first faults, at most MaxTimelineFaults.
  std::vector<TimelineFault> m_Faults;

  bool operator==(const TimelineReport &) const = default;
};

struct TimelineError {
  std::string m_File;
  std::string m_Message;

  bool operator==(const TimelineError &) const = default;
};

constexpr std::size_t MaxTimelineFaults = 100;

// Lines of one log that are sorted before they are merged: threads of a process
// may write in another order than their stamps.
constexpr std::size_t TimelineLookahead = 256;

// Longest line that is read; a longer one is a fault.
constexpr std::size_t MaxTimelineLineBytes = 1 << 20;

// "<file>:<line>: expected ...", for the operator.
std::string toString(const TimelineFault &Fault);

// Merges streams that are already open.
TimelineReport mergeTimeline(std::span<const TimelineInput> Inputs,
                             const TimelineOptions &Options, std::ostream &Out);

// Merges log files; fails when one can't be opened, before anything is written.
Result<TimelineReport, TimelineError>
mergeTimeline(std::span<const std::string> Files,
              const TimelineOptions &Options, std::ostream &Out);

} // namespace mangocart

#endif
