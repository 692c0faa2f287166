// Entry point of mangocart-standin, implemented in Source/Standin.
#include "Standin/StandinProgram.h"

int main(int ArgumentCount, char **Arguments) {
  return static_cast<int>(mangocart::runStandin(ArgumentCount, Arguments));
}
