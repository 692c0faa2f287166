// Sockets and message framing.
#include "Http.h"

#include <algorithm>
#include <cctype>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in toSystem(const Endpoint &At) {
  sockaddr_in Out = {};
  Out.sin_family = AF_INET;
  Out.sin_port = htons(At.m_Port);
  if (::inet_pton(AF_INET, At.m_Address.c_str(), &Out.sin_addr) != 1)
    throw std::invalid_argument("no address: " + At.m_Address);
  return Out;
}

std::string toLower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Text;
}

std::string trim(const std::string &Text) {
  const std::size_t First = Text.find_first_not_of(" \t");
  if (First == std::string::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

Message parseHead(const std::string &Head) {
  Message Out;
  std::size_t At = Head.find("\r\n");
  Out.m_FirstLine = Head.substr(0, At);
  while (At != std::string::npos && At + 2 < Head.size()) {
    const std::size_t Begin = At + 2;
    At = Head.find("\r\n", Begin);
    const std::string Line = Head.substr(
        Begin, At == std::string::npos ? std::string::npos : At - Begin);
    const std::size_t Colon = Line.find(':');
    if (Colon != std::string::npos)
      Out.m_Headers[toLower(Line.substr(0, Colon))] =
          trim(Line.substr(Colon + 1));
  }
  return Out;
}

} // namespace

Endpoint parseEndpoint(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    throw std::invalid_argument("expected ADDRESS:PORT, got " + Text);
  return {Text.substr(0, Colon),
          static_cast<std::uint16_t>(std::stoul(Text.substr(Colon + 1)))};
}

std::string Message::header(const std::string &Name) const {
  const auto Found = m_Headers.find(Name);
  return Found == m_Headers.end() ? std::string() : Found->second;
}

unsigned Message::status() const {
  const std::size_t Space = m_FirstLine.find(' ');
  if (Space == std::string::npos)
    return 0;
  return static_cast<unsigned>(std::atoi(m_FirstLine.c_str() + Space + 1));
}

std::string Message::method() const {
  return m_FirstLine.substr(0, m_FirstLine.find(' '));
}

std::string Message::target() const {
  const std::size_t Begin = m_FirstLine.find(' ') + 1;
  return m_FirstLine.substr(Begin, m_FirstLine.find(' ', Begin) - Begin);
}

Connection::~Connection() { ::close(m_Socket); }

void Connection::setTimeout(std::chrono::milliseconds Timeout) {
  timeval Time = {};
  Time.tv_sec = Timeout.count() / 1000;
  Time.tv_usec = (Timeout.count() % 1000) * 1000;
  ::setsockopt(m_Socket, SOL_SOCKET, SO_RCVTIMEO, &Time, sizeof(Time));
  ::setsockopt(m_Socket, SOL_SOCKET, SO_SNDTIMEO, &Time, sizeof(Time));
}

bool Connection::write(const std::string &Bytes) {
  std::size_t Done = 0;
  while (Done < Bytes.size()) {
    const ssize_t Sent = ::send(m_Socket, Bytes.data() + Done,
                                Bytes.size() - Done, MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    Done += static_cast<std::size_t>(Sent);
  }
  return true;
}

bool Connection::fill() {
  char Bytes[16384];
  const ssize_t Size = ::recv(m_Socket, Bytes, sizeof(Bytes), 0);
  if (Size <= 0)
    return false;
  m_Buffer.append(Bytes, static_cast<std::size_t>(Size));
  return true;
}

std::optional<Message> Connection::read() {
  std::size_t End = std::string::npos;
  while ((End = m_Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!fill())
      return std::nullopt;
  Message Out = parseHead(m_Buffer.substr(0, End));
  m_Buffer.erase(0, End + 4);
  if (toLower(Out.header("transfer-encoding")) == "chunked") {
    while (true) {
      std::size_t LineEnd = std::string::npos;
      while ((LineEnd = m_Buffer.find("\r\n")) == std::string::npos)
        if (!fill())
          return std::nullopt;
      const std::size_t Size = std::stoul(m_Buffer, nullptr, 16);
      while (m_Buffer.size() < LineEnd + 2 + Size + 2)
        if (!fill())
          return std::nullopt;
      Out.m_Body += m_Buffer.substr(LineEnd + 2, Size);
      m_Buffer.erase(0, LineEnd + 2 + Size + 2);
      if (Size == 0)
        return Out;
    }
  }
  const std::string Length = Out.header("content-length");
  const std::size_t Size = Length.empty() ? 0 : std::stoul(Length);
  while (m_Buffer.size() < Size)
    if (!fill())
      return std::nullopt;
  Out.m_Body = m_Buffer.substr(0, Size);
  m_Buffer.erase(0, Size);
  return Out;
}

int listenAt(const Endpoint &At) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in System = toSystem(At);
  if (::bind(Socket, reinterpret_cast<const sockaddr *>(&System),
             sizeof(System)) != 0 ||
      ::listen(Socket, 512) != 0) {
    ::close(Socket);
    throw std::runtime_error("cannot listen at " + At.m_Address + ":" +
                             std::to_string(At.m_Port));
  }
  return Socket;
}

int connectTo(const Endpoint &To, std::chrono::milliseconds Timeout) {
  const int Socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in System = toSystem(To);
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&System),
                sizeof(System)) != 0) {
    pollfd Waiting = {Socket, POLLOUT, 0};
    int Error = 0;
    socklen_t Size = sizeof(Error);
    if (errno != EINPROGRESS ||
        ::poll(&Waiting, 1, static_cast<int>(Timeout.count())) != 1 ||
        ::getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Size) != 0 ||
        Error != 0) {
      ::close(Socket);
      return -1;
    }
  }
  ::fcntl(Socket, F_SETFL, ::fcntl(Socket, F_GETFL) & ~O_NONBLOCK);
  return Socket;
}

std::optional<Message> call(const Endpoint &To, const std::string &Method,
                            const std::string &Target,
                            const std::map<std::string, std::string> &Headers,
                            const std::string &Body,
                            std::chrono::milliseconds Timeout) {
  const int Socket = connectTo(To, std::min<std::chrono::milliseconds>(
                                       Timeout, std::chrono::seconds(1)));
  if (Socket < 0)
    return std::nullopt;
  Connection Peer(Socket);
  Peer.setTimeout(Timeout);
  std::string Text = Method + " " + Target + " HTTP/1.1\r\n";
  if (!Headers.contains("Host"))
    Text += "Host: " + To.m_Address + "\r\n";
  for (const auto &[Name, Value] : Headers)
    Text.append(Name).append(": ").append(Value).append("\r\n");
  if (!Body.empty() || Method == "POST" || Method == "PUT")
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  Text += "\r\n" + Body;
  if (!Peer.write(Text))
    return std::nullopt;
  return Peer.read();
}

std::int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace review
