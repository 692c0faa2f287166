// Entry point of mangocart-entry, implemented in Source/Entry.
#include "Entry/EntryDaemon.h"

int main(int Argc, char **Argv) {
  return static_cast<int>(mangocart::runEntry(Argc, Argv));
}
