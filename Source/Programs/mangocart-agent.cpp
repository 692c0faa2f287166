// Main of mangocart-agent.
#include "Agent/AgentDaemon.h"

int main(int Argc, char **Argv) { return mangocart::runAgent(Argc, Argv); }
