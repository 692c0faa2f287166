// mangocart drain: asks a process to stop gracefully.
#include "Command/Commands.h"
#include "Command/CommonOptions.h"

#include <boost/json/serialize.hpp>

#include <ostream>

namespace mangocart {

namespace {

ExitCode run(const CommandValues &Values, CommandContext &Context) {
  auto Made = adminRequest(Values, WithToken::Yes, Context);
  if (!Made)
    return Made.error();
  AdminRequest &Request = Made.value();
  const std::string &Process = Values.text("PROCESS");
  Request.m_Method = "POST";
  Request.m_Path = "/v1/drain";
  Request.m_ContentType = "application/json";
  Request.m_Body =
      boost::json::serialize(boost::json::object{{"process", Process}});
  const auto Answer = callForSuccess(Request, Context);
  if (!Answer)
    return ExitCode::Failed;
  if (wantsJson(Values))
    Context.m_Out << Answer->m_Body;
  else
    Context.m_Out << Process << " drains\n";
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
