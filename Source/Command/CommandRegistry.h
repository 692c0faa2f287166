// Table of the subcommands and dispatch by name.
#ifndef MANGOCART_COMMAND_COMMANDREGISTRY_H
#define MANGOCART_COMMAND_COMMANDREGISTRY_H

#include "Command/Command.h"

#include <string>
#include <vector>

namespace mangocart {

// All subcommands, in the order in which help lists them.
const std::vector<Command> &commands();

// Runs the subcommand named by the first argument. Arguments exclude the name
// of the program.
ExitCode runCommand(const std::vector<std::string> &Arguments,
                    CommandContext &Context);

} // namespace mangocart

#endif
