// The current configuration and the operations that produced it. Accepting a
// configuration is a compare-and-set on the version that it was planned
// against: if two operators plan against the same version, one is accepted and
// the other gets a conflict that names the winner.
#ifndef MANGOCART_STATE_CONFIGURATIONREGISTER_H
#define MANGOCART_STATE_CONFIGURATIONREGISTER_H

#include "Log.pb.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace mangocart {

// Number of operations whose replies are kept for retries, about two days of
// changes at the design size. A later retry gets a conflict, because the
// version that it was planned against is no longer the current one: an
// operation is never accepted twice.
constexpr std::size_t MaxOperations = 4096;

struct ConfigurationRegister {
  // The version grows by one with each accepted configuration.
  schema::Configuration m_Configuration;
  // The operation that set the current configuration.
  std::string m_OperationId;
  std::string m_OperatorName;
  // Replies by operation id, and the same ids from oldest to newest.
  std::map<std::string, schema::OperationRecord> m_Operations;
  std::deque<std::string> m_OperationOrder;
};

// Accepts the configuration if it was planned against the current version. A
// retry under the same operation id gets the first reply, whatever the
// operator's name; a known id with another configuration or another planned
// version is a conflict.
schema::AcceptReply accept(ConfigurationRegister &Register,
                           const schema::AcceptConfiguration &Command,
                           std::uint64_t TimeMs);

void saveConfiguration(const ConfigurationRegister &Register,
                       schema::StateSnapshot &Snapshot);
ConfigurationRegister
restoreConfiguration(const schema::StateSnapshot &Snapshot);

} // namespace mangocart

#endif
