// Entry point of mangocart-agent, implemented in Source/Agent.
#include "Agent/AgentDaemon.h"

int main(int Argc, char **Argv) {
  return static_cast<int>(mangocart::runAgent(Argc, Argv));
}
