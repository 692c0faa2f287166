// Stores the newest configuration that the process has received.
#include "Configuration/ConfigurationHolder.h"

namespace mangocart {

ConfigurationHolder::ConfigurationHolder()
    : m_Current(std::make_shared<const ConfigurationIndex>(
          std::make_shared<const schema::Configuration>())) {}

ConfigurationIndexPtr ConfigurationHolder::index() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Current;
}

bool ConfigurationHolder::offer(const schema::Configuration &Offered) {
  // Most calls repeat the current version; only a newer configuration is copied
  // and indexed.
  if (Offered.version() <= version())
    return false;
  const auto Candidate = std::make_shared<const ConfigurationIndex>(
      std::make_shared<const schema::Configuration>(Offered));
  {
    const std::lock_guard Lock(m_Mutex);
    if (Offered.version() <= m_Current->configuration()->version())
      return false;
    m_Current = Candidate;
  }
  for (const ChangeHandler &Handler : m_Handlers)
    Handler(Candidate->configuration());
  return true;
}

void ConfigurationHolder::onChange(ChangeHandler Handler) {
  m_Handlers.push_back(std::move(Handler));
}

} // namespace mangocart
