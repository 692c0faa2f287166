// The merge of event logs.
#include "Events/Timeline.h"

#include "Events/EventLog.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <istream>
#include <memory>
#include <optional>
#include <ostream>
#include <queue>
#include <tuple>
#include <utility>

namespace mangocart {

namespace {

// Fields that the text form shows in fixed places.
constexpr std::string_view HeadFields[] = {
    "hlc", "event", "name", "level", "process", "machine", "zone"};

struct TimelineEvent {
  HybridStamp m_Stamp;
  // Line number in its log; keeps equal stamps of one log in order.
  std::uint64_t m_Line = 0;
  std::string m_Text;
};

bool comesAfter(const TimelineEvent &Left, const TimelineEvent &Right) {
  return std::tie(Left.m_Stamp, Left.m_Line) >
         std::tie(Right.m_Stamp, Right.m_Line);
}

struct LineText {
  std::string m_Text;
  bool m_TooLong = false;
};

// The next line without its end, or nothing at the end of the stream. A line
// that is too long is read to its end and not kept.
std::optional<LineText> readLine(std::istream &Stream) {
  LineText Line;
  std::streambuf *Buffer = Stream.rdbuf();
  bool Any = false;
  for (int Next = Buffer->sbumpc(); Next != EOF; Next = Buffer->sbumpc()) {
    Any = true;
    if (Next == '\n')
      return Line;
    if (Line.m_Text.size() < MaxTimelineLineBytes)
      Line.m_Text.push_back(static_cast<char>(Next));
    else
      Line.m_TooLong = true;
  }
  if (!Any)
    return std::nullopt;
  return Line;
}

std::string_view textOf(const boost::json::object &Fields,
                        std::string_view Name) {
  const boost::json::value *Value = Fields.if_contains(Name);
  if (Value == nullptr || !Value->is_string())
    return {};
  return Value->get_string();
}

std::string renderText(const boost::json::object &Fields) {
  std::string Line =
      fmt::format("{} {:5} {}/{} {}", textOf(Fields, "hlc"),
                  textOf(Fields, "level"), textOf(Fields, "machine"),
                  textOf(Fields, "process"), textOf(Fields, "name"));
  for (const auto &Field : Fields) {
    const std::string_view Name = Field.key();
    if (std::find(std::begin(HeadFields), std::end(HeadFields), Name) !=
        std::end(HeadFields))
      continue;
    Line += fmt::format(" {}={}", Name, boost::json::serialize(Field.value()));
  }
  return Line;
}

// One log: reads ahead by TimelineLookahead events and gives the earliest.
class LogReader {
public:
  LogReader(const TimelineInput &Input, const TimelineOptions &Options,
            TimelineReport &Report)
      : m_Input(Input), m_Options(Options), m_Report(Report) {
    fill();
  }

  bool empty() const { return m_Ahead.empty(); }
  const TimelineEvent &front() const { return m_Ahead.front(); }

  TimelineEvent pop() {
    std::pop_heap(m_Ahead.begin(), m_Ahead.end(), comesAfter);
    TimelineEvent Event = std::move(m_Ahead.back());
    m_Ahead.pop_back();
    if (Event.m_Stamp < m_LastStamp)
      ++m_Report.m_Late;
    m_LastStamp = std::max(m_LastStamp, Event.m_Stamp);
    fill();
    return Event;
  }

private:
  void fill() {
    while (!m_AtEnd && m_Ahead.size() < TimelineLookahead) {
      const std::optional<LineText> Line = readLine(*m_Input.m_Stream);
      if (!Line) {
        m_AtEnd = true;
        return;
      }
      ++m_LineNumber;
      take(*Line);
    }
  }

  void take(const LineText &Line) {
    if (Line.m_TooLong)
      return addFault(
          fmt::format("a line of at most {} bytes", MaxTimelineLineBytes));
    if (Line.m_Text.empty())
      return;
    boost::json::error_code Failed;
    const boost::json::value Parsed = boost::json::parse(Line.m_Text, Failed);
    if (Failed || !Parsed.is_object())
      return addFault("one JSON object a line");
    const boost::json::object &Fields = Parsed.get_object();
    const std::optional<HybridStamp> Stamp =
        parseHybridStamp(textOf(Fields, "hlc"));
    if (!Stamp)
      return addFault("a field \"hlc\" of the form \"<ms>.<counter>\"");
    if (!matches(Fields))
      return;
    const bool AsText = m_Options.m_Format == TimelineFormat::Text;
    m_Ahead.push_back(
        {*Stamp, m_LineNumber, AsText ? renderText(Fields) : Line.m_Text});
    std::push_heap(m_Ahead.begin(), m_Ahead.end(), comesAfter);
  }

  bool matches(const boost::json::object &Fields) const {
    return m_Options.m_Request.empty() ||
           textOf(Fields, EventFieldName::Request) == m_Options.m_Request;
  }

  void addFault(std::string Expected) {
    ++m_Report.m_FaultCount;
    if (m_Report.m_Faults.size() < MaxTimelineFaults)
      m_Report.m_Faults.push_back(
          {m_Input.m_Name, m_LineNumber, std::move(Expected)});
  }

  const TimelineInput &m_Input;
  const TimelineOptions &m_Options;
  TimelineReport &m_Report;
  // Heap with the earliest event in front; at most TimelineLookahead.
  std::vector<TimelineEvent> m_Ahead;
  HybridStamp m_LastStamp;
  std::uint64_t m_LineNumber = 0;
  bool m_AtEnd = false;
};

} // namespace

std::string toString(const TimelineFault &Fault) {
  return fmt::format("{}:{}: expected {}; the line is left out", Fault.m_File,
                     Fault.m_Line, Fault.m_Expected);
}

TimelineReport mergeTimeline(std::span<const TimelineInput> Inputs,
                             const TimelineOptions &Options,
                             std::ostream &Out) {
  TimelineReport Report;
  std::vector<LogReader> Readers;
  Readers.reserve(Inputs.size());
  for (const TimelineInput &Input : Inputs)
    Readers.emplace_back(Input, Options, Report);

  const auto ComesLater = [&](std::size_t Left, std::size_t Right) {
    return std::tie(Readers[Left].front().m_Stamp, Left) >
           std::tie(Readers[Right].front().m_Stamp, Right);
  };
  std::priority_queue<std::size_t, std::vector<std::size_t>,
                      decltype(ComesLater)>
      Next(ComesLater);
  for (std::size_t Index = 0; Index < Readers.size(); ++Index)
    if (!Readers[Index].empty())
      Next.push(Index);

  while (!Next.empty()) {
    const std::size_t Index = Next.top();
    Next.pop();
    Out << Readers[Index].pop().m_Text << '\n';
    ++Report.m_Written;
    if (!Readers[Index].empty())
      Next.push(Index);
  }
  return Report;
}

Result<TimelineReport, TimelineError>
mergeTimeline(std::span<const std::string> Files,
              const TimelineOptions &Options, std::ostream &Out) {
  std::vector<std::unique_ptr<std::ifstream>> Streams;
  std::vector<TimelineInput> Inputs;
  for (const std::string &File : Files) {
    Streams.push_back(std::make_unique<std::ifstream>(File));
    if (!*Streams.back())
      return failure(TimelineError{
          File, fmt::format("cannot be opened ({}); expected a readable event "
                            "log",
                            std::strerror(errno))});
    Inputs.push_back({File, Streams.back().get()});
  }
  return mergeTimeline(Inputs, Options, Out);
}

} // namespace mangocart
