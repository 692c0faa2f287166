// Logs of several processes merge by stamp; bad lines are named, not fatal.
#include "Events/Timeline.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <random>
#include <sstream>

using namespace mangocart;

namespace {

std::string line(std::uint64_t Milliseconds, std::string_view Process,
                 std::string_view Request = "r1") {
  return fmt::format(
      R"({{"hlc":"{}.000000","event":1001,"name":"ProcessStarted",)"
      R"("level":"info","process":"{}","machine":"vm1","request":"{}"}})"
      "\n",
      Milliseconds, Process, Request);
}

struct Merged {
  TimelineReport m_Report;
  std::string m_Text;
};

Merged merge(const std::vector<std::string> &Logs,
             const TimelineOptions &Options = {TimelineFormat::Json, ""}) {
  std::vector<std::istringstream> Streams(Logs.begin(), Logs.end());
  std::vector<TimelineInput> Inputs;
  Inputs.reserve(Logs.size());
  for (std::istringstream &Stream : Streams)
    Inputs.push_back({fmt::format("log{}", Inputs.size()), &Stream});
  std::ostringstream Out;
  const TimelineReport Report = mergeTimeline(Inputs, Options, Out);
  return {Report, Out.str()};
}

} // namespace

TEST_CASE("logs merge into one order") {
  const Merged Result = merge({line(1, "a") + line(5, "a"),
                               line(2, "b") + line(3, "b") + line(9, "b")});
  CHECK(Result.m_Text == line(1, "a") + line(2, "b") + line(3, "b") +
                             line(5, "a") + line(9, "b"));
  CHECK(Result.m_Report == TimelineReport{5, 0, 0, {}});
}

TEST_CASE("lines a little out of order are put right, far ones are counted") {
  CHECK(merge({line(2, "a") + line(1, "a")}).m_Text ==
        line(1, "a") + line(2, "a"));
  std::string Long;
  for (std::uint64_t Index = 0; Index <= TimelineLookahead; ++Index)
    Long += line(100 + Index, "a");
  CHECK(merge({Long + line(1, "a")}).m_Report.m_Late == 1);
}

TEST_CASE("only the events of a request") {
  const Merged Result =
      merge({line(1, "a", "r1") + line(2, "a", "r2"), line(3, "b", "r2")},
            {TimelineFormat::Json, "r2"});
  CHECK(Result.m_Text == line(2, "a", "r2") + line(3, "b", "r2"));
}

TEST_CASE("the text form shows the stamp, the process and the fields") {
  CHECK(merge({line(7, "entry")}, {TimelineFormat::Text, ""}).m_Text ==
        "7.000000 info  vm1/entry ProcessStarted request=\"r1\"\n");
}

TEST_CASE("a line that is no event is left out and named") {
  struct Row {
    std::string m_Line;
    std::string m_Message;
  };
  const std::string NoObject = "log0:2: expected one JSON object a line; the "
                               "line is left out";
  const std::string NoStamp = "log0:2: expected a field \"hlc\" of the form "
                              "\"<ms>.<counter>\"; the line is left out";
  const Row Rows[] = {
      {R"({"hlc":"1.0000)", NoObject},
      {"[]", NoObject},
      {"plain text", NoObject},
      {R"({"event":1001})", NoStamp},
      {R"({"hlc":12})", NoStamp},
      {R"({"hlc":"soon"})", NoStamp},
      {std::string(MaxTimelineLineBytes + 1, 'x'),
       "log0:2: expected a line of at most 1048576 bytes; the line is left "
       "out"}};
  for (const Row &Each : Rows) {
    const Merged Result = merge({line(1, "a") + Each.m_Line});
    CHECK(Result.m_Report.m_Written == 1);
    REQUIRE(Result.m_Report.m_Faults.size() == 1);
    CHECK(toString(Result.m_Report.m_Faults[0]) == Each.m_Message);
  }
}

TEST_CASE("faults are counted beyond those that are kept") {
  std::string Bad;
  for (std::size_t Index = 0; Index < MaxTimelineFaults + 5; ++Index)
    Bad += "x\n";
  const TimelineReport Report = merge({Bad}).m_Report;
  CHECK(Report.m_FaultCount == MaxTimelineFaults + 5);
  CHECK(Report.m_Faults.size() == MaxTimelineFaults);
}

TEST_CASE("a log that can't be opened is an error before any output") {
  std::ostringstream Out;
  const std::string Files[] = {"/nonexistent/entry.log"};
  const auto Result = mergeTimeline(Files, {}, Out);
  REQUIRE(Result.has_error());
  CHECK(Result.error().m_Message == "cannot be opened (No such file or "
                                    "directory); expected a readable event "
                                    "log");
  CHECK(Out.str().empty());
}

TEST_CASE("any split of events over logs merges to the same order") {
  std::mt19937 Generator(5);
  std::vector<std::string> Logs(8);
  std::string Expected;
  for (std::uint64_t Index = 0; Index < 5000; ++Index) {
    const std::string Each = line(Index, "p");
    Logs[Generator() % Logs.size()] += Each;
    Expected += Each;
  }
  CHECK(merge(Logs).m_Text == Expected);
}
