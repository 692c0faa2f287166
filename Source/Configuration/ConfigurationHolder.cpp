// Holds the newest configuration that the process has seen.
#include "Configuration/ConfigurationHolder.h"

namespace mangocart {

ConfigurationHolder::ConfigurationHolder()
    : m_Current(std::make_shared<const schema::Configuration>()) {}

ConfigurationPtr ConfigurationHolder::current() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Current;
}

bool ConfigurationHolder::offer(const schema::Configuration &Offered) {
  const auto Candidate = std::make_shared<const schema::Configuration>(Offered);
  {
    const std::lock_guard Lock(m_Mutex);
    if (Candidate->version() <= m_Current->version())
      return false;
    m_Current = Candidate;
  }
  for (const ChangeHandler &Handler : m_Handlers)
    Handler(Candidate);
  return true;
}

void ConfigurationHolder::onChange(ChangeHandler Handler) {
  m_Handlers.push_back(std::move(Handler));
}

} // namespace mangocart
