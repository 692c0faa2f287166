// The expert map in force for each rank group. An activation is a
// compare-and-set on the map that it replaces.
#ifndef MANGOCART_STATE_EXPERTMAPREGISTER_H
#define MANGOCART_STATE_EXPERTMAPREGISTER_H

#include "Log.pb.h"

#include <map>
#include <string>

namespace mangocart {

struct ExpertMapRegister {
  // By group; the map version of a group only grows.
  std::map<std::string, schema::ExpertMapRecord> m_Maps;
};

// Puts the map in force if `replaces` is the version in force (0 for none) and
// the new version is higher. The same activation again gets the same reply.
schema::ActivateReply activate(ExpertMapRegister &Register,
                               const schema::ActivateExpertMap &Command);

void saveExpertMaps(const ExpertMapRegister &Register,
                    schema::StateSnapshot &Snapshot);
ExpertMapRegister restoreExpertMaps(const schema::StateSnapshot &Snapshot);

} // namespace mangocart

#endif
