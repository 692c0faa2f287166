// Lets the main thread sleep until some worker says that the process is done.
#ifndef MANGOCART_DAEMON_EXITGATE_H
#define MANGOCART_DAEMON_EXITGATE_H

#include "Core/ExitCode.h"

#include <condition_variable>
#include <mutex>
#include <optional>

namespace mangocart {

class ExitGate {
public:
  // The first code given wins. From any thread.
  void open(ExitCode Code) {
    const std::lock_guard Lock(m_Mutex);
    if (!m_ExitCode)
      m_ExitCode = Code;
    m_Opened.notify_all();
  }

  ExitCode wait() {
    std::unique_lock Lock(m_Mutex);
    m_Opened.wait(Lock, [this] { return m_ExitCode.has_value(); });
    return *m_ExitCode;
  }

private:
  std::mutex m_Mutex;
  std::condition_variable m_Opened;
  std::optional<ExitCode> m_ExitCode;
};

} // namespace mangocart

#endif
