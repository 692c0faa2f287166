// mangocart drain: requests a graceful stop of a process.
#include "Command/Commands.h"
#include "Command/CommonOptions.h"

#include <boost/json/serialize.hpp>

#include <ostream>

namespace mangocart {

namespace {

ExitCode run(const CommandValues &Values, CommandContext &Context) {
  auto RequestOrExit = adminRequest(Values, WithToken::Yes, Context);
  if (!RequestOrExit)
    return RequestOrExit.error();
  AdminRequest &Request = RequestOrExit.value();
  const std::string &Process = Values.value("PROCESS");
  Request.m_Method = "POST";
  Request.m_Path = "/v1/drain";
  Request.m_ContentType = "application/json";
  Request.m_Body =
      boost::json::serialize(boost::json::object{{"process", Process}});
  const auto Response = callForSuccess(Request, Context);
  if (!Response)
    return ExitCode::Failed;
  if (wantsJson(Values))
    Context.m_Out << Response->m_Body;
  else
    Context.m_Out << Process << " is draining\n";
  return ExitCode::Ok;
}

} // namespace

Command drainCommand() {
  return {"drain",
          "Ask a process to take no new work, finish what runs, and exit.",
          {{OptionKind::Positional,
            "PROCESS",
            "",
            "",
            true,
            {},
            "Name of the entry VM or backend server."},
           adminOption(true),
           tokenFileOption(),
           timeoutOption(),
           outputOption()},
          run};
}

} // namespace mangocart
