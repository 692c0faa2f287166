// mangocart status: what one process of the deployment knows of all.
#include "Command/Commands.h"
#include "Command/CommonOptions.h"
#include "Command/JsonText.h"

#include <ostream>

namespace mangocart {

namespace {

ExitCode run(const CommandValues &Values, CommandContext &Context) {
  auto Request = adminRequest(Values, WithToken::No, Context);
  if (!Request)
    return Request.error();
  Request.value().m_Path = "/v1/status";
  const auto Answer = callForSuccess(Request.value(), Context);
  if (!Answer)
    return ExitCode::Failed;
  if (wantsJson(Values)) {
    Context.m_Out << Answer->m_Body;
    return ExitCode::Ok;
  }
  const auto Text = jsonToText(Answer->m_Body);
  if (!Text)
    return report(Context, ExitCode::Failed,
                  "GET /v1/status: the answer is no JSON");
  Context.m_Out << *Text;
  return ExitCode::Ok;
}

} // namespace

Command statusCommand() {
  return {"status",
          "Show members, voters and the configuration in force per process.",
          {adminOption(true), timeoutOption(), outputOption()},
          run};
}

} // namespace mangocart
