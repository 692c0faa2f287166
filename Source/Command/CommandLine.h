// Parses a subcommand's command line by its declared options.
#ifndef MANGOCART_COMMAND_COMMANDLINE_H
#define MANGOCART_COMMAND_COMMANDLINE_H

#include "Command/Command.h"
#include "Core/Result.h"

#include <string>
#include <vector>

namespace mangocart {

// Why a command line doesn't lead to a run: help or version was asked for
// (Exit is Ok, the text is for standard output), or it is wrong.
struct CommandLineStop {
  ExitCode m_Exit = ExitCode::Usage;
  std::string m_Text;

  bool operator==(const CommandLineStop &) const = default;
};

// Arguments without the program's and the command's name.
Result<CommandValues, CommandLineStop>
parseCommandLine(const Command &What,
                 const std::vector<std::string> &Arguments);

// What --help prints for the command.
std::string helpText(const Command &What);

// "--name VALUE", "--name" or "NAME", as help and reference show an option.
std::string optionText(const CommandOption &Option);

// "mangocart VERSION" and a newline.
std::string versionText();

} // namespace mangocart

#endif
