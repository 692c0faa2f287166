// Lists the subcommands; each is defined in its own file.
#include "Command/CommandRegistry.h"

#include "Command/CommandLine.h"
#include "Command/Commands.h"
#include "Settings/TextForms.h"

#include <fmt/format.h>

#include <algorithm>
#include <ostream>

namespace mangocart {

namespace {

std::string overview() {
  std::string Text = "Operates deployments of mangocart.\n\n"
                     "Usage: mangocart COMMAND [OPTIONS]\n\n";
  for (const Command &Entry : commands())
    Text += fmt::format("  {:<10} {}\n", Entry.m_Name, Entry.m_Summary);
  return Text + "\nRun 'mangocart COMMAND --help' for a command's options, "
                "'mangocart --version' for the version.\n";
}

ExitCode unknownCommand(const std::string &Name, CommandContext &Context) {
  std::vector<std::string> Known;
  for (const Command &Entry : commands())
    Known.push_back(Entry.m_Name);
  const std::string Nearest = nearestWord(Name, Known);
  Context.m_Err << fmt::format(
      "mangocart: found \"{}\"; expected {}\nRun 'mangocart --help' for the "
      "commands.\n",
      Name,
      Nearest.empty() ? fmt::format("one of {}", fmt::join(Known, ", "))
                      : "a command, perhaps " + Nearest);
  return ExitCode::Usage;
}

ExitCode runParsed(const Command &Definition,
                   const std::vector<std::string> &Arguments,
                   CommandContext &Context) {
  const auto Values = parseCommandLine(Definition, Arguments);
  if (Values)
    return Definition.m_Run(Values.value(), Context);
  const CommandLineExit &Exit = Values.error();
  (Exit.m_Exit == ExitCode::Ok ? Context.m_Out : Context.m_Err) << Exit.m_Text;
  return Exit.m_Exit;
}

} // namespace

const std::vector<Command> &commands() {
  static const std::vector<Command> All{
      validateCommand(), initCommand(),     planCommand(),  acceptCommand(),
      statusCommand(),   drainCommand(),    orderCommand(), metricsCommand(),
      timelineCommand(), referenceCommand()};
  return All;
}

ExitCode runCommand(const std::vector<std::string> &Arguments,
                    CommandContext &Context) {
  if (Arguments.empty()) {
    Context.m_Err << overview();
    return ExitCode::Usage;
  }
  const std::string &Name = Arguments.front();
  if (Name == "--help" || Name == "-h") {
    Context.m_Out << overview();
    return ExitCode::Ok;
  }
  if (Name == "--version") {
    Context.m_Out << versionText();
    return ExitCode::Ok;
  }
  const auto Found =
      std::find_if(commands().begin(), commands().end(),
                   [&](const Command &Entry) { return Entry.m_Name == Name; });
  if (Found == commands().end())
    return unknownCommand(Name, Context);
  return runParsed(*Found, {Arguments.begin() + 1, Arguments.end()}, Context);
}

} // namespace mangocart
