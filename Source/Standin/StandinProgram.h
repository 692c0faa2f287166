// The program around the stand-in.
#ifndef MANGOCART_STANDIN_STANDINPROGRAM_H
#define MANGOCART_STANDIN_STANDINPROGRAM_H

namespace mangocart {

// Returns the exit status.
int runStandin(int ArgumentCount, const char *const *Arguments);

} // namespace mangocart

#endif
