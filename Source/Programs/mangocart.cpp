// The operators' command line; all of its work is in the library.
#include "Command/CommandRegistry.h"
#include "Command/OperationId.h"

#include <iostream>

int main(int Argc, char **Argv) {
  const std::vector<std::string> Arguments(Argv + 1, Argv + Argc);
  mangocart::CommandContext Context{std::cout, std::cerr, mangocart::callAdmin,
                                    mangocart::makeOperationId};
  return static_cast<int>(mangocart::runCommand(Arguments, Context));
}
