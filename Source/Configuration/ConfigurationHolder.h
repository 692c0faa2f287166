// The current configuration of this process. A configuration with a lower or
// equal version never replaces it, whatever its source.
#ifndef MANGOCART_CONFIGURATION_CONFIGURATIONHOLDER_H
#define MANGOCART_CONFIGURATION_CONFIGURATIONHOLDER_H

#include "Configuration/ConfigurationIndex.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace mangocart {

// Thread-safe. Handlers run on the thread that calls offer(), after the lock
// has been released.
class ConfigurationHolder {
public:
  using ChangeHandler = std::function<void(const ConfigurationPtr &)>;

  ConfigurationHolder();

  // Never null; version 0 before the first configuration is received.
  ConfigurationPtr current() const { return index()->configuration(); }
  // The current configuration with its index.
  ConfigurationIndexPtr index() const;
  std::uint64_t version() const { return current()->version(); }

  // Replaces the current configuration if the offered one is newer, and returns
  // whether it did.
  bool offer(const schema::Configuration &Offered);

  // To be called before the process serves requests; handlers are never
  // removed.
  void onChange(ChangeHandler Handler);

private:
  mutable std::mutex m_Mutex;
  // Its version never decreases; guarded by m_Mutex.
  ConfigurationIndexPtr m_Current;
  std::vector<ChangeHandler> m_Handlers;
};

} // namespace mangocart

#endif
