// Comparison of responses with the run logs of the stand-ins.
#include "Load/RunVerifier.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

using namespace mangocart;

namespace {

BookingAttempt attempt(CheckResult Check, ReportedOutcome Outcome,
                       bool NothingSent = false) {
  return {"k", "digest", {Check, Outcome, {}, {}}, NothingSent};
}

RunRecord run(std::uint64_t Serial, std::string Digest = "digest") {
  return {"k", "c", std::move(Digest), Serial};
}

} // namespace

TEST_CASE("reported outcomes must match the run logs") {
  struct Row {
    const char *m_Name;
    std::vector<BookingAttempt> m_Attempts;
    std::vector<RunRecord> m_Runs;
    // Empty: no guarantee is violated.
    std::string m_Guarantee;
  };
  const BookingAttempt Ran = attempt(CheckResult::Ok, ReportedOutcome::Ran);
  const BookingAttempt OkWithoutOutcome =
      attempt(CheckResult::Ok, ReportedOutcome::None);
  const BookingAttempt NotRun =
      attempt(CheckResult::Rejected, ReportedOutcome::NotRun);
  const BookingAttempt Unknown =
      attempt(CheckResult::Rejected, ReportedOutcome::Unknown);
  const BookingAttempt RejectedAsRan =
      attempt(CheckResult::Rejected, ReportedOutcome::Ran);
  const BookingAttempt Lost =
      attempt(CheckResult::Failed, ReportedOutcome::None);
  const BookingAttempt NotSent =
      attempt(CheckResult::Failed, ReportedOutcome::None, true);
  const std::vector<Row> Rows{
      {"ran once", {Ran}, {run(1)}, ""},
      {"ran, reported twice", {Ran, Ran}, {run(1)}, ""},
      {"ran twice", {Ran}, {run(1), run(2)}, "at most once"},
      {"ran twice, not reported", {Lost}, {run(1), run(1)}, "at most once"},
      {"reported as run, but did not run", {Ran}, {}, "ran"},
      {"ok without outcome, but did not run", {OkWithoutOutcome}, {}, "ran"},
      {"rejected as run, but did not run", {RejectedAsRan}, {}, "ran"},
      {"reported as not run, and did not run", {NotRun}, {}, ""},
      {"reported as not run, but ran", {NotRun}, {run(1)}, "not run"},
      {"reported as not run, then ran", {NotRun, Ran}, {run(1)}, ""},
      {"unknown, ran", {Unknown}, {run(1)}, ""},
      {"unknown, did not run", {Unknown}, {}, ""},
      {"lost response before reported as not run",
       {Lost, NotRun},
       {run(1)},
       ""},
      {"never sent, but ran", {NotSent}, {run(1)}, "not run"},
      {"ran with another body", {Ran}, {run(1, "other")}, "own request"},
      {"runs of other keys",
       {NotRun},
       {{"x", "c", "d", 1}, {"x", "c", "d", 2}},
       ""}};
  for (const Row &Row : Rows) {
    INFO(Row.m_Name);
    const auto Violations = verifyRuns(Row.m_Attempts, Row.m_Runs);
    CHECK(Violations.size() == (Row.m_Guarantee.empty() ? 0 : 1));
    for (const Violation &Entry : Violations)
      CHECK(Entry.m_Guarantee == Row.m_Guarantee);
  }
}

TEST_CASE(
    "a run log is read line by line and the error names an invalid line") {
  const std::string Path =
      (std::filesystem::temp_directory_path() / "mangocart-judge.log").string();
  std::ofstream(Path) << R"({"key":"k","customer":"c","digest":"d","serial":3})"
                      << "\n";
  const std::vector<RunRecord> Expected{{"k", "c", "d", 3}};
  CHECK(readRunLog(Path).value() == Expected);
  std::ofstream(Path, std::ios::app) << "{\"key\":\"k\"\n";
  CHECK_THAT(readRunLog(Path).error().m_Detail,
             Catch::Contains(Path + ":2: expected a JSON object"));
  std::filesystem::remove(Path);
  CHECK_THAT(readRunLog(Path).error().m_Detail,
             Catch::Contains("cannot read the run log"));
}
