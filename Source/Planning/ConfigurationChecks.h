// What every configuration must hold, also one that didn't come from a plan.
#ifndef MANGOCART_PLANNING_CONFIGURATIONCHECKS_H
#define MANGOCART_PLANNING_CONFIGURATIONCHECKS_H

#include <string>

namespace mangocart {

namespace schema {
class Configuration;
} // namespace schema

// The first fault, as a sentence without full stop; empty when there is none.
std::string faultOf(const schema::Configuration &Configuration);

} // namespace mangocart

#endif
