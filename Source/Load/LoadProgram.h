// The load program.
#ifndef MANGOCART_LOAD_LOADPROGRAM_H
#define MANGOCART_LOAD_LOADPROGRAM_H

namespace mangocart {

// Returns the exit status: 1 if any promise was broken.
int runLoadProgram(int ArgumentCount, const char *const *Arguments);

} // namespace mangocart

#endif
