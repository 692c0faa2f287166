// mangocart metrics: prints the metrics of one process, unchanged.
#include "Command/Commands.h"
#include "Command/CommonOptions.h"

#include <ostream>

namespace mangocart {

namespace {

ExitCode run(const CommandValues &Values, CommandContext &Context) {
  auto Request = adminRequest(Values, WithToken::No, Context);
  if (!Request)
    return Request.error();
  Request.value().m_Path = "/metrics";
  const auto Response = callForSuccess(Request.value(), Context);
  if (!Response)
    return ExitCode::Failed;
  Context.m_Out << Response->m_Body;
  return ExitCode::Ok;
}

} // namespace

Command metricsCommand() {
  return {"metrics",
          "Print the metrics of one process.",
          {adminOption(true), timeoutOption()},
          run};
}

} // namespace mangocart
