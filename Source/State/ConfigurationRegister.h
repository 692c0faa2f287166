// The configuration in force and the operations that led to it. An acceptance
// is a compare-and-set on the version that it was planned against, so of two
// operators with the same number one wins and the other is shown the winner.
#ifndef MANGOCART_STATE_CONFIGURATIONREGISTER_H
#define MANGOCART_STATE_CONFIGURATIONREGISTER_H

#include "Log.pb.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace mangocart {

// Operations whose replies are kept for a resend, about two days of changes at
// the design size. A resend that comes later is a conflict, because the version
// that it was planned against is gone: it is never taken a second time.
constexpr std::size_t MaxOperations = 4096;

struct ConfigurationRegister {
  // Its version only grows, by one with each acceptance.
  schema::Configuration m_Configuration;
  // The operation that set the configuration in force.
  std::string m_OperationId;
  std::string m_OperatorName;
  // Replies by operation id, and the ids from oldest to newest. Both hold the
  // same ids.
  std::map<std::string, schema::OperationRecord> m_Operations;
  std::deque<std::string> m_OperationOrder;
};

// Takes the configuration if it was planned against the version in force. The
// same operation id again gets the first reply, whatever the operator's name;
// another configuration or version planned against under a used id is a
// conflict.
schema::AcceptReply accept(ConfigurationRegister &Register,
                           const schema::AcceptConfiguration &Command,
                           std::uint64_t TimeMs);

void saveConfiguration(const ConfigurationRegister &Register,
                       schema::StateSnapshot &Snapshot);
ConfigurationRegister
restoreConfiguration(const schema::StateSnapshot &Snapshot);

} // namespace mangocart

#endif
