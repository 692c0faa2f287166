// mangocart metrics: the metrics of one process, as it serves them.
#include "Command/Commands.h"
#include "Command/CommonOptions.h"

#include <ostream>

namespace mangocart {

namespace {

CommandExit run(const CommandValues &Values, CommandContext &Context) {
  auto Request = adminRequest(Values, false, Context);
  if (!Request)
    return CommandExit::Usage;
  Request->m_Path = "/metrics";
  const auto Answer = callForSuccess(*Request, Context);
  if (!Answer)
    return CommandExit::Failed;
  Context.m_Out << Answer->m_Body;
  return CommandExit::Ok;
}

} // namespace

Command metricsCommand() {
  return {"metrics",
          "Print the metrics of one process.",
          {adminOption(true), timeoutOption()},
          run};
}

} // namespace mangocart
