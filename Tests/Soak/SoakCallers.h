// Callers that use their connections until the gateway closes them, and an
// operator who changes and reads the configuration. They check what they see
// while the soak runs.
#ifndef MANGOCART_TESTS_SOAKCALLERS_H
#define MANGOCART_TESTS_SOAKCALLERS_H

#include "Soak/SoakSystem.h"

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace mangocart::test {

struct SentRequest {
  SoakClock::time_point m_At;
  bool m_IsUnsafe = false;
  // 0 without an answer.
  unsigned m_Status = 0;
};

// Broken promises, one line each; thread-safe.
class Findings {
public:
  void add(std::string Line) {
    const std::lock_guard Lock(m_Mutex);
    m_Lines.push_back(std::move(Line));
  }
  std::vector<std::string> lines() const {
    const std::lock_guard Lock(m_Mutex);
    return m_Lines;
  }

private:
  mutable std::mutex m_Mutex;
  std::vector<std::string> m_Lines;
};

class SoakCallers {
public:
  SoakCallers(const SoakSystem &System, std::uint64_t Seed, Findings &Found);
  ~SoakCallers() { stop(); }
  SoakCallers(const SoakCallers &) = delete;
  SoakCallers &operator=(const SoakCallers &) = delete;

  void stop();
  // All requests by ID; after stop().
  const std::map<std::string, SentRequest> &requests() const {
    return m_Requests;
  }
  std::uint64_t acknowledgedVersion() const { return m_Acknowledged; }

private:
  void runCaller(unsigned Number, std::uint64_t Seed);
  void runOperator(std::uint64_t Seed);
  void check(const std::string &Id, bool IsStream, unsigned Status,
             const std::string &Body, bool IsWhole);

  const SoakSystem &m_System;
  Findings &m_Found;
  std::atomic<bool> m_IsStopping{false};
  std::atomic<std::uint64_t> m_Acknowledged{SoakSystem::FirstVersion};
  std::mutex m_Mutex;
  // Guarded by m_Mutex.
  std::map<std::string, SentRequest> m_Requests;
  std::vector<std::jthread> m_Threads;
};

// The version of a configuration as it is read back; 0 if it has none.
std::uint64_t versionOf(const std::string &Document);

} // namespace mangocart::test

#endif
