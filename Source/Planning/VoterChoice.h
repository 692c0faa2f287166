// Chooses the entry VMs that vote in the replicated log.
#ifndef MANGOCART_PLANNING_VOTERCHOICE_H
#define MANGOCART_PLANNING_VOTERCHOICE_H

#include <set>
#include <string>

namespace mangocart {

namespace schema {
class Configuration;
class Questionnaire;
} // namespace schema

// Names of the voters: an odd number (5 when at least five availability zones
// have disks, else 3 when there are three disks, else 1), spread over regions
// and availability zones. Present voters keep their vote where the spread is as
// good, because each change of voters costs a copy of the state.
std::set<std::string> chooseVoters(const schema::Questionnaire &Answers,
                                   const schema::Configuration &Present);

} // namespace mangocart

#endif
