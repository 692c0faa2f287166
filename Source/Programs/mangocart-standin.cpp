// Main of mangocart-standin; the work is in Source/Standin.
#include "Standin/StandinProgram.h"

int main(int ArgumentCount, char **Arguments) {
  return mangocart::runStandin(ArgumentCount, Arguments);
}
