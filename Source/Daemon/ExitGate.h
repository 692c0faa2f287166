// Lets the main thread sleep until some worker says that the process is done.
#ifndef MANGOCART_DAEMON_EXITGATE_H
#define MANGOCART_DAEMON_EXITGATE_H

#include <condition_variable>
#include <mutex>
#include <optional>

namespace mangocart {

class ExitGate {
public:
  // The first code given wins. From any thread.
  void open(int ExitCode) {
    const std::lock_guard Lock(m_Mutex);
    if (!m_ExitCode)
      m_ExitCode = ExitCode;
    m_Opened.notify_all();
  }

  int wait() {
    std::unique_lock Lock(m_Mutex);
    m_Opened.wait(Lock, [this] { return m_ExitCode.has_value(); });
    return *m_ExitCode;
  }

private:
  std::mutex m_Mutex;
  std::condition_variable m_Opened;
  std::optional<int> m_ExitCode;
};

} // namespace mangocart

#endif
