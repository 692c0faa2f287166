// mangocart reference: prints the settings and commands that the program
// defines, for comparison with the pages in docs/.
#include "Command/CommandLine.h"
#include "Command/CommandRegistry.h"
#include "Command/Commands.h"
#include "Settings/SettingsReference.h"

#include <fmt/format.h>

#include <ostream>

namespace mangocart {

namespace {

// One line per option: command, option and default, separated by tabs.
std::string commandsReference() {
  std::string Text;
  for (const Command &Entry : commands()) {
    Text += fmt::format("{}\t\t{}\n", Entry.m_Name, Entry.m_Summary);
    for (const CommandOption &Option : Entry.m_Options)
      Text += fmt::format("{}\t{}\t{}\n", Entry.m_Name, optionText(Option),
                          Option.m_Required          ? "required"
                          : Option.m_Default.empty() ? "none"
                                                     : Option.m_Default);
  }
  return Text;
}

ExitCode run(const CommandValues &Values, CommandContext &Context) {
  Context.m_Out << (Values.value("SUBJECT") == "settings"
                        ? settingsReference()
                        : commandsReference());
  return ExitCode::Ok;
}

} // namespace

Command referenceCommand() {
  return {"reference",
          "Print every setting or every command with its options.",
          {{OptionKind::Positional,
            "SUBJECT",
            "",
            "",
            true,
            {"settings", "commands"},
            "What to print."}},
          run};
}

} // namespace mangocart
