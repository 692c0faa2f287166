// Clients book slots at five replicas. Three of these lose answers by a reset
// and send some answers twice. After a reset the gateway probes the replica;
// the second answer to the probe arrives where the answer to the next request
// on that connection is expected.
#ifndef MANGOCART_REVIEW_BOOKINGS_H
#define MANGOCART_REVIEW_BOOKINGS_H

#include "Deployment.h"

#include <functional>

namespace review {

// Called on the threads of the clients, for each answer.
using OnAnswer = std::function<void(const std::string &Id, const Answer &Got)>;

// Starts the deployment and plays for 90 s; false if it can't be started.
// Options are those of all replicas.
bool playBookings(Deployment &System, std::vector<std::string> Options,
                  const OnAnswer &Handler);

} // namespace review

#endif
