// Entry point of mangocart, the command line tool for operators, implemented in
// Source/Command.
#include "Command/CommandRegistry.h"
#include "Command/OperationId.h"

#include <iostream>

int main(int Argc, char **Argv) {
  const std::vector<std::string> Arguments(Argv + 1, Argv + Argc);
  mangocart::CommandContext Context{std::cout, std::cerr, mangocart::callAdmin,
                                    mangocart::makeOperationId};
  return static_cast<int>(mangocart::runCommand(Arguments, Context));
}
