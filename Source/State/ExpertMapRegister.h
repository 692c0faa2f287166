// The current expert map of each rank group. Activating a map is a
// compare-and-set on the version that it replaces.
#ifndef MANGOCART_STATE_EXPERTMAPREGISTER_H
#define MANGOCART_STATE_EXPERTMAPREGISTER_H

#include "Log.pb.h"

#include <map>
#include <string>

namespace mangocart {

struct ExpertMapRegister {
  // By group; the map version of a group never decreases.
  std::map<std::string, schema::ExpertMapRecord> m_Maps;
};

// Activates the map if `replaces` is the current version (0 for none) and the
// new version is higher. A repeated activation gets the same reply.
schema::ActivateReply activate(ExpertMapRegister &Register,
                               const schema::ActivateExpertMap &Command);

void saveExpertMaps(const ExpertMapRegister &Register,
                    schema::StateSnapshot &Snapshot);
ExpertMapRegister restoreExpertMaps(const schema::StateSnapshot &Snapshot);

} // namespace mangocart

#endif
