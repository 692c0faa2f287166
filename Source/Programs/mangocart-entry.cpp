// Main of mangocart-entry.
#include "Entry/EntryDaemon.h"

int main(int Argc, char **Argv) { return mangocart::runEntry(Argc, Argv); }
