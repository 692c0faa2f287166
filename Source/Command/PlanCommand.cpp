// mangocart plan: what the answers would change, written down for acceptance.
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

// The configuration in force; failures are reported, the error is the exit
// code.
Result<schema::Configuration, ExitCode>
fetchPresent(const CommandValues &Values, CommandContext &Context) {
  auto Request = adminRequest(Values, WithToken::No, Context);
  if (!Request)
    return Request.error();
  Request.value().m_Path = "/v1/configuration";
  const auto Answer = callForSuccess(Request.value(), Context);
  if (!Answer)
    return ExitCode::Failed;
  auto Present = parseConfiguration(Answer->m_Body);
  if (!Present)
    return report(Context, ExitCode::Failed, Present.error().m_Detail);
  return std::move(Present).value();
}

void print(const Plan &Made, const std::string &File, CommandContext &Context) {
  for (const SettingsWarning &Warning : Made.m_Warnings)
    Context.m_Err << toString(Warning) << "\n";
  for (const ConfigurationChange &Change : Made.m_Changes)
    Context.m_Out << toString(Change) << "\n";
  if (Made.m_Changes.empty())
    Context.m_Out << "no change\n";
  Context.m_Out << fmt::format(
      "planned against version {}; accept {} to make it version {}\n",
      Made.m_PlannedAgainst, File, Made.m_Configuration.version());
}

ExitCode planAgainst(const schema::Configuration &Present,
                     const CommandValues &Values, CommandContext &Context) {
  const std::string &Answers = Values.text("answers");
  const auto Text = readTextFile(Answers);
  if (!Text) {
    Context.m_Err << toString(Text.error());
    return ExitCode::Failed;
  }
  const auto Made = planText(Answers, Text.value(), Present);
  if (!Made && wantsJson(Values))
    Context.m_Out << findingsJson(Made.error(), {}) << "\n";
  else if (!Made)
    Context.m_Err << toString(Made.error());
  if (!Made)
    return ExitCode::Failed;
  const std::string Json = planJson(Made.value()) + "\n";
  const std::string Fault = writeTextFile(Values.text("out"), Json);
  if (!Fault.empty())
    return report(Context, ExitCode::Failed, Fault);
  if (wantsJson(Values))
    Context.m_Out << Json;
  else
    print(Made.value(), Values.text("out"), Context);
  return ExitCode::Ok;
}

ExitCode run(const CommandValues &Values, CommandContext &Context) {
  if (Values.given("offline") == Values.given("admin"))
    return report(Context, ExitCode::Usage,
                  "expected either --admin HOST:PORT or --offline");
  if (Values.given("offline"))
    return planAgainst({}, Values, Context);
  const auto Present = fetchPresent(Values, Context);
  return Present ? planAgainst(Present.value(), Values, Context)
                 : Present.error();
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
            "Questionnaire with its answers, in TOML."},
           adminOption(false),
           {OptionKind::Switch,
            "offline",
            "",
            "",
            false,
            {},
            "Plan a first configuration without asking a deployment."},
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
