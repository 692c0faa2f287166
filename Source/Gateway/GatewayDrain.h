// Times of a gateway's drain within the time until it is killed.
#ifndef MANGOCART_GATEWAY_GATEWAYDRAIN_H
#define MANGOCART_GATEWAY_GATEWAYDRAIN_H

#include "Membership/DrainState.h"

namespace mangocart {

// UntilKilled: time from the signal to stop until the process is killed.
DrainLimits gatewayDrainLimits(Duration UntilKilled);

} // namespace mangocart

#endif
