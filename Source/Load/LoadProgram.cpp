// Parses the command line, runs the load, verifies the results and prints the
// report.
#include "Load/LoadProgram.h"

#include "Load/LoadRunner.h"
#include "Load/RunVerifier.h"

#include <iostream>

namespace mangocart {

namespace {

void append(std::vector<Violation> &To, std::vector<Violation> From) {
  std::move(From.begin(), From.end(), std::back_inserter(To));
}

Result<void, RunLogError> verify(const LoadOptions &Options,
                                 LoadReport &Report) {
  append(Report.m_Violations, verifyReceipts(Report.m_Attempts));
  if (Options.m_RunLogs.empty())
    return success();
  std::vector<RunRecord> Runs;
  for (const std::string &Log : Options.m_RunLogs) {
    BOOST_OUTCOME_TRY(auto Read, readRunLog(Log));
    std::move(Read.begin(), Read.end(), std::back_inserter(Runs));
  }
  append(Report.m_Violations, verifyRuns(Report.m_Attempts, Runs));
  return success();
}

} // namespace

ExitCode runLoadProgram(int ArgumentCount, const char *const *Arguments) {
  auto Parsed = parseLoadOptions(ArgumentCount, Arguments);
  if (const auto *Exit = std::get_if<ExitCode>(&Parsed))
    return *Exit;
  const LoadOptions &Options = std::get<LoadOptions>(Parsed);
  LoadReport Report = runLoad(Options);
  const auto Verified = verify(Options, Report);
  std::cout << (Options.m_Output == LoadOutput::Json ? toJson(Report)
                                                     : toText(Report));
  if (!Verified) {
    std::cerr << "mangocart-load: " << Verified.error().m_Detail << "\n";
    return ExitCode::Failed;
  }
  return Report.m_Violations.empty() ? ExitCode::Ok : ExitCode::Failed;
}

} // namespace mangocart
