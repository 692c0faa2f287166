// mangocart plan: computes the changes that the questionnaire would make and
// writes them to a plan file for acceptance.
#include "Command/Commands.h"
#include "Command/CommonOptions.h"
#include "Command/TextFile.h"
#include "Planning/Plan.h"
#include "Planning/PlanJson.h"
#include "Settings/SettingsReader.h"

#include <fmt/format.h>

#include <ostream>

namespace mangocart {

namespace {

// Fetches the configuration in force. Reports a failure and returns the exit
// code as the error.
Result<schema::Configuration, ExitCode>
fetchCurrent(const CommandValues &Values, CommandContext &Context) {
  auto Request = adminRequest(Values, WithToken::No, Context);
  if (!Request)
    return Request.error();
  Request.value().m_Path = "/v1/configuration";
  const auto Response = callForSuccess(Request.value(), Context);
  if (!Response)
    return ExitCode::Failed;
  auto Current = parseConfiguration(Response->m_Body);
  if (!Current)
    return report(Context, ExitCode::Failed, Current.error().m_Detail);
  return std::move(Current).value();
}

void print(const Plan &NewPlan, const std::string &File,
           CommandContext &Context) {
  for (const SettingsWarning &Warning : NewPlan.m_Warnings)
    Context.m_Err << toString(Warning) << "\n";
  for (const ConfigurationChange &Change : NewPlan.m_Changes)
    Context.m_Out << toString(Change) << "\n";
  if (NewPlan.m_Changes.empty())
    Context.m_Out << "no change\n";
  Context.m_Out << fmt::format(
      "planned against version {}; accept {} to make it version {}\n",
      NewPlan.m_PlannedAgainst, File, NewPlan.m_Configuration.version());
}

ExitCode planAgainst(const schema::Configuration &Current,
                     const CommandValues &Values, CommandContext &Context) {
  const std::string &Answers = Values.value("answers");
  const auto Text = readTextFile(Answers);
  if (!Text) {
    Context.m_Err << toString(Text.error());
    return ExitCode::Failed;
  }
  const auto NewPlan = planText(Answers, Text.value(), Current);
  if (!NewPlan && wantsJson(Values))
    Context.m_Out << findingsJson(NewPlan.error(), {}) << "\n";
  else if (!NewPlan)
    Context.m_Err << toString(NewPlan.error());
  if (!NewPlan)
    return ExitCode::Failed;
  const std::string Json = planJson(NewPlan.value()) + "\n";
  const std::string Error = writeTextFile(Values.value("out"), Json);
  if (!Error.empty())
    return report(Context, ExitCode::Failed, Error);
  if (wantsJson(Values))
    Context.m_Out << Json;
  else
    print(NewPlan.value(), Values.value("out"), Context);
  return ExitCode::Ok;
}

ExitCode run(const CommandValues &Values, CommandContext &Context) {
  if (Values.has("offline") == Values.has("admin"))
    return report(Context, ExitCode::Usage,
                  "expected either --admin HOST:PORT or --offline");
  if (Values.has("offline"))
    return planAgainst({}, Values, Context);
  const auto Current = fetchCurrent(Values, Context);
  return Current ? planAgainst(Current.value(), Values, Context)
                 : Current.error();
}

} // namespace

Command planCommand() {
  return {"plan",
          "Show what the answers change and write the plan to a file.",
          {{OptionKind::Value,
            "answers",
            "FILE",
            "",
            true,
            {},
            "Completed questionnaire, in TOML."},
           adminOption(false),
           {OptionKind::Switch,
            "offline",
            "",
            "",
            false,
            {},
            "Plan a first configuration without contacting a deployment."},
           {OptionKind::Value,
            "out",
            "FILE",
            "plan.json",
            false,
            {},
            "File to write the plan to."},
           timeoutOption(),
           outputOption()},
          run};
}

} // namespace mangocart
