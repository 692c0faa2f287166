// What every program of the project ends with.
#ifndef MANGOCART_CORE_EXITCODE_H
#define MANGOCART_CORE_EXITCODE_H

namespace mangocart {

enum class ExitCode {
  Ok = 0,
  // What was asked for failed, or a drain cut requests off.
  Failed = 1,
  // The command line or a settings file is wrong; nothing was started.
  Usage = 2
};

} // namespace mangocart

#endif
