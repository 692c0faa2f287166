// mangocart reference: settings and commands as the program knows them, for
// comparison with the pages in docs/.
#include "Command/CommandLine.h"
#include "Command/CommandRegistry.h"
#include "Command/Commands.h"
#include "Settings/SettingsReference.h"

#include <fmt/format.h>

#include <ostream>

namespace mangocart {

namespace {

// One line an option: COMMAND, option, default, separated by tabs.
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
  Context.m_Out << (Values.text("SUBJECT") == "settings" ? settingsReference()
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
