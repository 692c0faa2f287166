// Command line, run, judgement and report.
#include "Load/LoadProgram.h"

#include "Load/LoadRunner.h"
#include "Load/RunJudge.h"

#include <iostream>

namespace mangocart {

namespace {

void append(std::vector<BrokenPromise> &To, std::vector<BrokenPromise> From) {
  std::move(From.begin(), From.end(), std::back_inserter(To));
}

Result<void, RunLogError> judge(const LoadOptions &Options,
                                LoadReport &Report) {
  append(Report.m_Broken, judgeReceipts(Report.m_Attempts));
  if (Options.m_JudgeLogs.empty())
    return success();
  std::vector<RunRecord> Runs;
  for (const std::string &Log : Options.m_JudgeLogs) {
    BOOST_OUTCOME_TRY(auto Read, readRunLog(Log));
    std::move(Read.begin(), Read.end(), std::back_inserter(Runs));
  }
  append(Report.m_Broken, judgeRuns(Report.m_Attempts, Runs));
  return success();
}

} // namespace

ExitCode runLoadProgram(int ArgumentCount, const char *const *Arguments) {
  auto Parsed = parseLoadOptions(ArgumentCount, Arguments);
  if (const auto *Exit = std::get_if<ExitCode>(&Parsed))
    return *Exit;
  const LoadOptions &Options = std::get<LoadOptions>(Parsed);
  LoadReport Report = runLoad(Options);
  const auto Judged = judge(Options, Report);
  std::cout << (Options.m_Output == LoadOutput::Json ? toJson(Report)
                                                     : toText(Report));
  if (!Judged) {
    std::cerr << "mangocart-load: " << Judged.error().m_Detail << "\n";
    return ExitCode::Failed;
  }
  return Report.m_Broken.empty() ? ExitCode::Ok : ExitCode::Failed;
}

} // namespace mangocart
