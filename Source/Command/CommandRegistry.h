// The table of subcommands and the choice among them.
#ifndef MANGOCART_COMMAND_COMMANDREGISTRY_H
#define MANGOCART_COMMAND_COMMANDREGISTRY_H

#include "Command/Command.h"

#include <string>
#include <vector>

namespace mangocart {

// All subcommands, in the order in which help lists them.
const std::vector<Command> &commands();

// Runs the subcommand that the first argument names. Arguments without the
// program's name.
ExitCode runCommand(const std::vector<std::string> &Arguments,
                    CommandContext &Context);

} // namespace mangocart

#endif
