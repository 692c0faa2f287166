// Reads heads and writes the answers.
#include "Http/EndlessServer.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <memory>

namespace mangocart::test {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Enough copies for one write.
constexpr std::size_t WriteBytes = std::size_t{16} * 1024;

} // namespace

struct EndlessServer::Connection
    : std::enable_shared_from_this<EndlessServer::Connection> {
  Connection(EndlessServer &Owner, tcp::socket Socket)
      : m_Owner(Owner), m_Socket(std::move(Socket)),
        m_Timer(m_Socket.get_executor()) {}

  void readHead() {
    asio::async_read_until(
        m_Socket, asio::dynamic_buffer(m_Read), "\r\n\r\n",
        [Self = shared_from_this()](error_code Error, std::size_t Bytes) {
          if (Error)
            return;
          const std::string Head = Self->m_Read.substr(0, Bytes);
          Self->m_Read.erase(0, Bytes);
          Self->answer(Self->m_Owner.m_Answer(Head));
        });
  }

  void answer(EndlessAnswer Answer) {
    m_Pause = Answer.m_Pause;
    m_Again = Answer.m_Again;
    while (m_Pause.count() == 0 && !m_Again.empty() &&
           m_Again.size() < WriteBytes)
      m_Again += Answer.m_Again;
    if (!m_Again.empty())
      ++m_Owner.m_Begun;
    m_Text = std::move(Answer.m_Begin);
    write();
  }

  void write() {
    asio::async_write(
        m_Socket, asio::buffer(m_Text),
        [Self = shared_from_this()](error_code Error, std::size_t Bytes) {
          Self->m_Owner.m_SentBytes += Bytes;
          if (Self->m_Again.empty())
            return Error ? void() : Self->readHead();
          if (Error) {
            ++Self->m_Owner.m_Ended;
            return;
          }
          Self->m_Text = Self->m_Again;
          if (Self->m_Pause.count() == 0)
            return Self->write();
          Self->m_Timer.expires_after(Self->m_Pause);
          Self->m_Timer.async_wait([Self](error_code) { Self->write(); });
        });
  }

  EndlessServer &m_Owner;
  tcp::socket m_Socket;
  asio::steady_timer m_Timer;
  std::string m_Read;
  std::string m_Text;
  std::string m_Again;
  std::chrono::microseconds m_Pause{0};
};

EndlessServer::EndlessServer(const std::string &Address, std::uint16_t Port,
                             Answers Answer)
    : m_Answer(std::move(Answer)),
      m_Listener(Address, Port, [this](tcp::socket Socket) {
        std::make_shared<Connection>(*this, std::move(Socket))->readHead();
      }) {}

} // namespace mangocart::test
