// Parses the command line of a subcommand according to its declared options.
#ifndef MANGOCART_COMMAND_COMMANDLINE_H
#define MANGOCART_COMMAND_COMMANDLINE_H

#include "Command/Command.h"
#include "Core/Result.h"

#include <string>
#include <vector>

namespace mangocart {

// Result of a command line that does not run the command: help or version was
// requested (m_Exit is Ok and the text goes to standard output), or the command
// line is invalid.
struct CommandLineExit {
  ExitCode m_Exit = ExitCode::Usage;
  std::string m_Text;

  bool operator==(const CommandLineExit &) const = default;
};

// Arguments exclude the names of the program and of the command.
Result<CommandValues, CommandLineExit>
parseCommandLine(const Command &Definition,
                 const std::vector<std::string> &Arguments);

// Text that --help prints for the command.
std::string helpText(const Command &Definition);

// "--name VALUE", "--name" or "NAME", as shown in help and in the reference.
std::string optionText(const CommandOption &Option);

// "mangocart VERSION" and a newline.
std::string versionText();

} // namespace mangocart

#endif
