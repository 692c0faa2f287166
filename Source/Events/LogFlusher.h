// Flushes a buffered log at a steady interval, so that a busy path pays no
// system call for each line and a quiet process still shows its lines soon.
#ifndef MANGOCART_EVENTS_LOGFLUSHER_H
#define MANGOCART_EVENTS_LOGFLUSHER_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace mangocart {

class LogFlusher {
public:
  // Longest time that a line stays in the buffer. Real time, not the runtime's
  // clock: a paused test must not hold back its own log.
  static constexpr std::chrono::milliseconds Interval{500};

  explicit LogFlusher(std::function<void()> Flush);
  ~LogFlusher();
  LogFlusher(const LogFlusher &) = delete;
  LogFlusher &operator=(const LogFlusher &) = delete;

  // A line was buffered; safe from any thread.
  void markDirty() { m_Dirty.store(true, std::memory_order_release); }

private:
  void run(const std::stop_token &Stop);

  std::function<void()> m_Flush;
  // True while lines may be in the buffer.
  std::atomic<bool> m_Dirty{false};
  std::mutex m_Mutex;
  std::condition_variable_any m_Wakeup;
  // Last member: the thread ends before the state that it reads.
  std::jthread m_Thread;
};

} // namespace mangocart

#endif
