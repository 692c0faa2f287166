// Runs the acceptor's context.
#include "Http/LoopbackListener.h"

namespace mangocart::test {

using boost::asio::ip::tcp;

LoopbackListener::LoopbackListener(const std::string &Address,
                                   std::uint16_t Port, Handler OnConnection)
    : m_Acceptor(m_Context,
                 tcp::endpoint(boost::asio::ip::make_address(Address), Port)),
      m_OnConnection(std::move(OnConnection)) {
  accept();
  m_Thread = std::thread([this] { m_Context.run(); });
}

LoopbackListener::~LoopbackListener() {
  m_Context.stop();
  m_Thread.join();
}

std::uint16_t LoopbackListener::port() const {
  return m_Acceptor.local_endpoint().port();
}

void LoopbackListener::accept() {
  m_Acceptor.async_accept(
      [this](boost::system::error_code Error, tcp::socket Socket) {
        if (Error)
          return;
        ++m_Connections;
        m_OnConnection(std::move(Socket));
        accept();
      });
}

} // namespace mangocart::test
