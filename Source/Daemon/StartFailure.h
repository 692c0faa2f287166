// Says why a daemon can't start, for the operator.
#ifndef MANGOCART_DAEMON_STARTFAILURE_H
#define MANGOCART_DAEMON_STARTFAILURE_H

#include <stdexcept>

namespace mangocart {

struct StartFailure : std::runtime_error {
  using std::runtime_error::runtime_error;
};

} // namespace mangocart

#endif
