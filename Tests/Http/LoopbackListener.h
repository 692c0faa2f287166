// Accepts connections on a loopback address, on a thread of its own.
#ifndef MANGOCART_TESTS_LOOPBACKLISTENER_H
#define MANGOCART_TESTS_LOOPBACKLISTENER_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

namespace mangocart::test {

class LoopbackListener {
public:
  // Called for each connection, on the listener's thread.
  using Handler = std::function<void(boost::asio::ip::tcp::socket)>;

  LoopbackListener(const std::string &Address, std::uint16_t Port,
                   Handler OnConnection);
  // Ends the thread, then drops the handlers of connections that are open.
  ~LoopbackListener();
  LoopbackListener(const LoopbackListener &) = delete;
  LoopbackListener &operator=(const LoopbackListener &) = delete;

  std::uint16_t port() const;
  unsigned connections() const { return m_Connections; }

private:
  void accept();

  boost::asio::io_context m_Context;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  const Handler m_OnConnection;
  std::atomic<unsigned> m_Connections{0};
  std::thread m_Thread;
};

} // namespace mangocart::test

#endif
