// mangocart status: what one process of the deployment knows of all.
#include "Command/Commands.h"
#include "Command/CommonOptions.h"
#include "Command/JsonText.h"

#include <ostream>

namespace mangocart {

namespace {

CommandExit run(const CommandValues &Values, CommandContext &Context) {
  auto Request = adminRequest(Values, false, Context);
  if (!Request)
    return CommandExit::Usage;
  Request->m_Path = "/v1/status";
  const auto Answer = callForSuccess(*Request, Context);
  if (!Answer)
    return CommandExit::Failed;
  if (wantsJson(Values)) {
    Context.m_Out << Answer->m_Body;
    return CommandExit::Ok;
  }
  const auto Text = jsonToText(Answer->m_Body);
  if (!Text)
    return report(Context, CommandExit::Failed,
                  "GET /v1/status: the answer is no JSON");
  Context.m_Out << *Text;
  return CommandExit::Ok;
}

} // namespace

Command statusCommand() {
  return {"status",
          "Show members, voters and the configuration in force per process.",
          {adminOption(true), timeoutOption(), outputOption()},
          run};
}

} // namespace mangocart
