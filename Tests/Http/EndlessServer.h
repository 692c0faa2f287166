// A server on a loopback address that answers each request with bytes without
// end: some bytes once, then others again and again until the client closes.
#ifndef MANGOCART_TESTS_ENDLESSSERVER_H
#define MANGOCART_TESTS_ENDLESSSERVER_H

#include "Http/LoopbackListener.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace mangocart::test {

struct EndlessAnswer {
  std::string m_Begin;
  std::string m_Again;
  // Between two writes.
  std::chrono::microseconds m_Pause{0};
};

class EndlessServer {
public:
  // The answer to a request by its head; called on the server's thread. An
  // answer without m_Again is whole.
  using Answers = std::function<EndlessAnswer(const std::string &Head)>;

  EndlessServer(const std::string &Address, std::uint16_t Port, Answers Answer);
  EndlessServer(const EndlessServer &) = delete;
  EndlessServer &operator=(const EndlessServer &) = delete;

  std::uint16_t port() const { return m_Listener.port(); }
  unsigned connections() const { return m_Listener.connections(); }
  // Bytes that the clients' machines have taken so far, and the connections on
  // which an answer without end was begun or has been ended by the client.
  std::uint64_t sentBytes() const { return m_SentBytes; }
  unsigned begun() const { return m_Begun; }
  unsigned ended() const { return m_Ended; }

private:
  struct Connection;

  const Answers m_Answer;
  std::atomic<std::uint64_t> m_SentBytes{0};
  std::atomic<unsigned> m_Begun{0};
  std::atomic<unsigned> m_Ended{0};
  // Ends first: its thread uses the other members.
  LoopbackListener m_Listener;
};

} // namespace mangocart::test

#endif
