// Declarations of the subcommands; each is defined in its own file.
#ifndef MANGOCART_COMMAND_COMMANDS_H
#define MANGOCART_COMMAND_COMMANDS_H

namespace mangocart {

struct Command;

Command validateCommand();
Command initCommand();
Command planCommand();
Command acceptCommand();
Command statusCommand();
Command drainCommand();
Command orderCommand();
Command metricsCommand();
Command timelineCommand();
Command referenceCommand();

} // namespace mangocart

#endif
