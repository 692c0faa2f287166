// Judgement of what callers were told against what the stand-ins recorded.
#include "Load/RunJudge.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

using namespace mangocart;

namespace {

BookingAttempt attempt(Verdict Seen, StatedOutcome Told,
                       bool NothingSent = false) {
  return {"k", "digest", {Seen, Told, {}, {}}, NothingSent};
}

RunRecord run(std::uint64_t Serial, std::string Digest = "digest") {
  return {"k", "c", std::move(Digest), Serial};
}

} // namespace

TEST_CASE("what was told and what ran must agree") {
  struct Row {
    const char *m_Name;
    std::vector<BookingAttempt> m_Attempts;
    std::vector<RunRecord> m_Runs;
    // Empty: nothing is broken.
    std::string m_Promise;
  };
  const BookingAttempt Ran = attempt(Verdict::Ok, StatedOutcome::Ran);
  const BookingAttempt Answered = attempt(Verdict::Ok, StatedOutcome::None);
  const BookingAttempt NotRun =
      attempt(Verdict::Refused, StatedOutcome::NotRun);
  const BookingAttempt Unknown =
      attempt(Verdict::Refused, StatedOutcome::Unknown);
  const BookingAttempt SaidRan = attempt(Verdict::Refused, StatedOutcome::Ran);
  const BookingAttempt Lost = attempt(Verdict::Broken, StatedOutcome::None);
  const BookingAttempt NotSent =
      attempt(Verdict::Broken, StatedOutcome::None, true);
  const std::vector<Row> Rows{
      {"ran once", {Ran}, {run(1)}, ""},
      {"ran, told twice", {Ran, Ran}, {run(1)}, ""},
      {"ran twice", {Ran}, {run(1), run(2)}, "at most once"},
      {"ran twice, nobody told", {Lost}, {run(1), run(1)}, "at most once"},
      {"told ran, but didn't", {Ran}, {}, "ran"},
      {"answered, but didn't run", {Answered}, {}, "ran"},
      {"refused as ran, but didn't", {SaidRan}, {}, "ran"},
      {"told not run, and didn't", {NotRun}, {}, ""},
      {"told not run, but did", {NotRun}, {run(1)}, "not run"},
      {"told not run, then ran", {NotRun, Ran}, {run(1)}, ""},
      {"unknown, ran", {Unknown}, {run(1)}, ""},
      {"unknown, didn't", {Unknown}, {}, ""},
      {"in doubt before told not run", {Lost, NotRun}, {run(1)}, ""},
      {"never sent, but ran", {NotSent}, {run(1)}, "not run"},
      {"ran with another body", {Ran}, {run(1, "other")}, "own request"},
      {"others' runs", {NotRun}, {{"x", "c", "d", 1}, {"x", "c", "d", 2}}, ""}};
  for (const Row &Row : Rows) {
    INFO(Row.m_Name);
    const auto Broken = judgeRuns(Row.m_Attempts, Row.m_Runs);
    CHECK(Broken.size() == (Row.m_Promise.empty() ? 0 : 1));
    for (const BrokenPromise &Each : Broken)
      CHECK(Each.m_Promise == Row.m_Promise);
  }
}

TEST_CASE("a run log is read line by line and an odd line is named") {
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
