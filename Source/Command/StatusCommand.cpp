// mangocart status: prints the state of the deployment as one process sees it.
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
  const auto Response = callForSuccess(Request.value(), Context);
  if (!Response)
    return ExitCode::Failed;
  if (wantsJson(Values)) {
    Context.m_Out << Response->m_Body;
    return ExitCode::Ok;
  }
  const auto Text = jsonToText(Response->m_Body);
  if (!Text)
    return report(Context, ExitCode::Failed,
                  "GET /v1/status: the response is not valid JSON");
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
