// Main of mangocart-standin; the work is in Source/Standin.
#include "Standin/StandinProgram.h"

int main(int ArgumentCount, char **Arguments) {
  return static_cast<int>(mangocart::runStandin(ArgumentCount, Arguments));
}
