// What every configuration must hold, also one that didn't come from a plan:
// some answers must lead to it.
#ifndef MANGOCART_PLANNING_CONFIGURATIONCHECKS_H
#define MANGOCART_PLANNING_CONFIGURATIONCHECKS_H

#include <string>

namespace mangocart {

namespace schema {
class Configuration;
class Questionnaire;
} // namespace schema

// Answers that lead to the configuration if any do. Of the entry VMs only the
// voters are taken to have disks, as the configuration doesn't say more.
schema::Questionnaire answersFor(const schema::Configuration &Configuration);

// The first fault, as a sentence without full stop; empty when there is none.
std::string faultOf(const schema::Configuration &Configuration);

} // namespace mangocart

#endif
