// A server on a loopback address that writes given bytes as its answers and
// ends connections at a given point.
#ifndef MANGOCART_TESTS_BROKENSERVER_H
#define MANGOCART_TESTS_BROKENSERVER_H

#include "Http/LoopbackListener.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

namespace mangocart::test {

enum class ConnectionEnd {
  // The rest of the request is read, then the next request is answered.
  Keep,
  // Sends a reset.
  Reset,
  // Closes the connection; bytes that were not read make the kernel send a
  // reset.
  Close,
  // Ends the sending direction, reads the rest of the request and closes.
  Shutdown,
  // Ends the sending direction, and sends a reset after m_Pause.
  ShutdownThenReset
};

struct BrokenAnswer {
  std::string m_Text;
  ConnectionEnd m_End = ConnectionEnd::Keep;
  // From the last byte of the text to the end of the connection, or from the
  // end of the sending direction to what follows it.
  std::chrono::microseconds m_Pause{0};
  // Bytes of the body that are read before the answer.
  std::size_t m_ReadBytes = 0;
};

class BrokenServer {
public:
  // The answer to a request by its head; called on the server's thread.
  using Answers = std::function<BrokenAnswer(const std::string &Head)>;

  BrokenServer(const std::string &Address, std::uint16_t Port, Answers Answer);
  BrokenServer(const BrokenServer &) = delete;
  BrokenServer &operator=(const BrokenServer &) = delete;

  std::uint16_t port() const { return m_Listener.port(); }
  unsigned connections() const { return m_Listener.connections(); }
  unsigned requests() const { return m_Requests; }

private:
  struct Connection;

  const Answers m_Answer;
  std::atomic<unsigned> m_Requests{0};
  // Ends first: its thread uses the other members.
  LoopbackListener m_Listener;
};

std::string joined(std::initializer_list<std::string_view> Parts);

// The value of a header of a request; empty without one.
std::string headerOf(const std::string &Head, const std::string &Name);

} // namespace mangocart::test

#endif
