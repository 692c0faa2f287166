// Entry point of mangocart-load, implemented in Source/Load.
#include "Load/LoadProgram.h"

int main(int ArgumentCount, char **Arguments) {
  return static_cast<int>(mangocart::runLoadProgram(ArgumentCount, Arguments));
}
