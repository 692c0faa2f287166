// Reads requests, writes the answers and ends the connections.
#include "Http/BrokenServer.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <memory>

namespace mangocart::test {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

struct BrokenServer::Connection
    : std::enable_shared_from_this<BrokenServer::Connection> {
  Connection(BrokenServer &Owner, tcp::socket Socket)
      : m_Owner(Owner), m_Socket(std::move(Socket)),
        m_Timer(m_Socket.get_executor()) {
    error_code Ignored;
    m_Socket.set_option(tcp::no_delay(true), Ignored);
  }

  void readHead() {
    asio::async_read_until(
        m_Socket, asio::dynamic_buffer(m_Read), "\r\n\r\n",
        [Self = shared_from_this()](error_code Error, std::size_t Bytes) {
          if (Error)
            return;
          const std::string Head = Self->m_Read.substr(0, Bytes);
          Self->m_Read.erase(0, Bytes);
          const std::string Length = headerOf(Head, "Content-Length");
          Self->m_BodyLeft = Length.empty() ? 0 : std::stoull(Length);
          ++Self->m_Owner.m_Requests;
          Self->m_Answer = Self->m_Owner.m_Answer(Head);
          Self->readBody(std::min(Self->m_BodyLeft, Self->m_Answer.m_ReadBytes),
                         &Connection::write);
        });
  }

  void readBody(std::size_t Bytes, void (Connection::*Then)()) {
    const std::size_t Missing = Bytes - std::min(Bytes, m_Read.size());
    asio::async_read(m_Socket, asio::dynamic_buffer(m_Read),
                     asio::transfer_exactly(Missing),
                     [Self = shared_from_this(), Bytes, Then](error_code Error,
                                                              std::size_t) {
                       if (Error)
                         return;
                       Self->m_Read.erase(0, Bytes);
                       Self->m_BodyLeft -= Bytes;
                       (*Self.*Then)();
                     });
  }

  void write() {
    asio::async_write(
        m_Socket, asio::buffer(m_Answer.m_Text),
        [Self = shared_from_this()](error_code Error, std::size_t) {
          if (Error)
            return;
          if (Self->m_Answer.m_End == ConnectionEnd::Shutdown ||
              Self->m_Answer.m_End == ConnectionEnd::ShutdownThenReset) {
            error_code Ignored;
            Self->m_Socket.shutdown(tcp::socket::shutdown_send, Ignored);
          }
          if (Self->m_Answer.m_Pause.count() == 0)
            return Self->end();
          Self->m_Timer.expires_after(Self->m_Answer.m_Pause);
          Self->m_Timer.async_wait([Self](error_code) { Self->end(); });
        });
  }

  void end() {
    switch (m_Answer.m_End) {
    case ConnectionEnd::Keep:
      return readBody(m_BodyLeft, &Connection::readHead);
    case ConnectionEnd::Shutdown:
      return readBody(m_BodyLeft, &Connection::close);
    case ConnectionEnd::Reset:
    case ConnectionEnd::ShutdownThenReset: {
      error_code Ignored;
      m_Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
      return close();
    }
    case ConnectionEnd::Close:
      return close();
    }
  }

  void close() {
    error_code Ignored;
    m_Socket.close(Ignored);
  }

  BrokenServer &m_Owner;
  tcp::socket m_Socket;
  asio::steady_timer m_Timer;
  BrokenAnswer m_Answer;
  std::string m_Read;
  // Bytes of the request's body that were not read yet.
  std::size_t m_BodyLeft = 0;
};

BrokenServer::BrokenServer(const std::string &Address, std::uint16_t Port,
                           Answers Answer)
    : m_Answer(std::move(Answer)),
      m_Listener(Address, Port, [this](tcp::socket Socket) {
        std::make_shared<Connection>(*this, std::move(Socket))->readHead();
      }) {}

std::string joined(std::initializer_list<std::string_view> Parts) {
  std::string Text;
  for (const std::string_view Part : Parts)
    Text += Part;
  return Text;
}

std::string headerOf(const std::string &Head, const std::string &Name) {
  const std::size_t At = Head.find("\r\n" + Name + ": ");
  if (At == std::string::npos)
    return {};
  const std::size_t Begin = At + Name.size() + 4;
  return Head.substr(Begin, Head.find("\r\n", Begin) - Begin);
}

} // namespace mangocart::test
