// The configuration in force in this process. A lower or equal version never
// replaces the one held, whatever source it comes from.
#ifndef MANGOCART_CONFIGURATION_CONFIGURATIONHOLDER_H
#define MANGOCART_CONFIGURATION_CONFIGURATIONHOLDER_H

#include "Configuration/ConfigurationIndex.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace mangocart {

// Safe to use from any thread. Handlers run on the thread that offers, after
// the lock has been released.
class ConfigurationHolder {
public:
  using ChangeHandler = std::function<void(const ConfigurationPtr &)>;

  ConfigurationHolder();

  // Never null; version 0 before the first configuration arrives.
  ConfigurationPtr current() const { return index()->configuration(); }
  // The same with its look-ups.
  ConfigurationIndexPtr index() const;
  std::uint64_t version() const { return current()->version(); }

  // True when the configuration was newer and is now in force.
  bool offer(const schema::Configuration &Offered);

  // Before the process serves; handlers are never removed.
  void onChange(ChangeHandler Handler);

private:
  mutable std::mutex m_Mutex;
  // Its version only grows; guarded by m_Mutex.
  ConfigurationIndexPtr m_Current;
  std::vector<ChangeHandler> m_Handlers;
};

} // namespace mangocart

#endif
