// Blocking calls with deadlines by poll().
#include "Wire.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <sstream>
#include <strings.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in toSystem(const Endpoint &At) {
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_port = htons(At.m_Port);
  inet_pton(AF_INET, At.m_Address.c_str(), &Out.sin_addr);
  return Out;
}

int millisecondsUntil(TimePoint Deadline) {
  const auto Left =
      std::chrono::ceil<Milliseconds>(Deadline - Clock::now()).count();
  return static_cast<int>(std::clamp<long>(Left, 0, 3600000));
}

bool waitFor(int Descriptor, short Events, TimePoint Deadline) {
  pollfd Waiting{Descriptor, Events, 0};
  while (true) {
    const int Ready = poll(&Waiting, 1, millisecondsUntil(Deadline));
    if (Ready > 0)
      return true;
    if (Ready == 0 || errno != EINTR)
      return false;
  }
}

// Waits until the received bytes hold the text; returns its position.
std::optional<std::size_t> findOrRead(Socket &From, std::string_view Text,
                                      TimePoint Deadline, bool &TimedOut) {
  while (true) {
    const std::size_t At = From.received().find(Text);
    if (At != std::string::npos)
      return At;
    const auto Result = From.read(Deadline);
    TimedOut = Result == Socket::ReadResult::TimedOut;
    if (Result != Socket::ReadResult::Data)
      return std::nullopt;
  }
}

bool fill(Socket &From, std::size_t Bytes, TimePoint Deadline, bool &TimedOut) {
  while (From.received().size() < Bytes) {
    const auto Result = From.read(Deadline);
    TimedOut = Result == Socket::ReadResult::TimedOut;
    if (Result != Socket::ReadResult::Data)
      return false;
  }
  return true;
}

Body readChunks(Socket &From, TimePoint Deadline) {
  Body Out;
  bool TimedOut = false;
  const auto Cut = [&] {
    Out.m_End = TimedOut ? BodyEnd::TimedOut : BodyEnd::CutOff;
    return Out;
  };
  while (true) {
    const auto LineEnd = findOrRead(From, "\r\n", Deadline, TimedOut);
    if (!LineEnd)
      return Cut();
    const std::size_t Size = std::strtoul(From.received().c_str(), nullptr, 16);
    From.received().erase(0, *LineEnd + 2);
    if (!fill(From, Size + 2, Deadline, TimedOut)) {
      Out.m_Bytes += From.received().substr(0, Size);
      return Cut();
    }
    Out.m_Bytes += From.received().substr(0, Size);
    From.received().erase(0, Size + 2);
    if (Size == 0) {
      Out.m_End = BodyEnd::Whole;
      return Out;
    }
  }
}

} // namespace

std::string toString(const Endpoint &At) {
  return At.m_Address + ":" + std::to_string(At.m_Port);
}

Endpoint parseEndpoint(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos) {
    std::fprintf(stderr, "expected ADDRESS:PORT, got '%s'\n", Text.c_str());
    std::exit(2);
  }
  return {Text.substr(0, Colon),
          static_cast<std::uint16_t>(std::atoi(Text.c_str() + Colon + 1))};
}

Socket &Socket::operator=(Socket &&Other) noexcept {
  if (this != &Other) {
    close();
    m_Descriptor = std::exchange(Other.m_Descriptor, -1);
    m_Received = std::move(Other.m_Received);
  }
  return *this;
}

void Socket::close() {
  if (m_Descriptor >= 0)
    ::close(std::exchange(m_Descriptor, -1));
}

void Socket::reset() {
  const linger Abort{1, 0};
  if (m_Descriptor >= 0)
    setsockopt(m_Descriptor, SOL_SOCKET, SO_LINGER, &Abort, sizeof(Abort));
  close();
}

bool Socket::send(std::string_view Bytes, TimePoint Deadline) {
  while (!Bytes.empty()) {
    const ssize_t Sent = ::send(m_Descriptor, Bytes.data(), Bytes.size(),
                                MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Sent > 0)
      Bytes.remove_prefix(static_cast<std::size_t>(Sent));
    else if (errno != EAGAIN || !waitFor(m_Descriptor, POLLOUT, Deadline))
      return false;
  }
  return true;
}

Socket::ReadResult Socket::read(TimePoint Deadline, std::size_t MaxBytes) {
  if (!waitFor(m_Descriptor, POLLIN, Deadline))
    return ReadResult::TimedOut;
  std::string Area(MaxBytes, '\0');
  const ssize_t Got = recv(m_Descriptor, Area.data(), Area.size(), 0);
  if (Got == 0)
    return ReadResult::End;
  if (Got < 0)
    return ReadResult::Reset;
  m_Received.append(Area, 0, static_cast<std::size_t>(Got));
  return ReadResult::Data;
}

bool Socket::isClosedByPeer() {
  char Byte = 0;
  const ssize_t Got = recv(m_Descriptor, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Got == 0 || (Got < 0 && errno != EAGAIN);
}

Socket connectTo(const Endpoint &To, TimePoint Deadline, int ReceiveBuffer) {
  Socket Out(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int One = 1;
  setsockopt(Out.descriptor(), IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  if (ReceiveBuffer > 0)
    setsockopt(Out.descriptor(), SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer,
               sizeof(ReceiveBuffer));
  const int Flags = fcntl(Out.descriptor(), F_GETFL);
  fcntl(Out.descriptor(), F_SETFL, Flags | O_NONBLOCK);
  const sockaddr_in Address = toSystem(To);
  if (connect(Out.descriptor(), reinterpret_cast<const sockaddr *>(&Address),
              sizeof(Address)) != 0) {
    int Error = errno;
    socklen_t Size = sizeof(Error);
    if (Error != EINPROGRESS || !waitFor(Out.descriptor(), POLLOUT, Deadline) ||
        getsockopt(Out.descriptor(), SOL_SOCKET, SO_ERROR, &Error, &Size) !=
            0 ||
        Error != 0)
      return {};
  }
  fcntl(Out.descriptor(), F_SETFL, Flags);
  return Out;
}

Socket listenOn(const Endpoint &At) {
  Socket Out(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int One = 1;
  setsockopt(Out.descriptor(), SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  const sockaddr_in Address = toSystem(At);
  constexpr int Backlog = 256;
  if (bind(Out.descriptor(), reinterpret_cast<const sockaddr *>(&Address),
           sizeof(Address)) != 0 ||
      listen(Out.descriptor(), Backlog) != 0)
    return {};
  return Out;
}

Socket acceptFrom(Socket &Listener, TimePoint Deadline) {
  if (!waitFor(Listener.descriptor(), POLLIN, Deadline))
    return {};
  Socket Out(accept4(Listener.descriptor(), nullptr, nullptr, SOCK_CLOEXEC));
  const int One = 1;
  if (Out.isOpen())
    setsockopt(Out.descriptor(), IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  return Out;
}

std::optional<std::string> Head::field(std::string_view Name) const {
  for (const auto &[Field, Value] : m_Fields)
    if (Field.size() == Name.size() &&
        strncasecmp(Field.data(), Name.data(), Name.size()) == 0)
      return Value;
  return std::nullopt;
}

unsigned Head::status() const {
  return m_Words.size() < 2
             ? 0
             : static_cast<unsigned>(std::atoi(m_Words[1].c_str()));
}

std::optional<Head> readHead(Socket &From, TimePoint Deadline) {
  bool TimedOut = false;
  const auto End = findOrRead(From, "\r\n\r\n", Deadline, TimedOut);
  if (!End)
    return std::nullopt;
  std::istringstream Lines(From.received().substr(0, *End));
  From.received().erase(0, *End + 4);
  Head Out;
  std::string Line;
  std::getline(Lines, Line);
  std::istringstream First(Line);
  for (std::string Word; First >> Word;)
    Out.m_Words.push_back(Word);
  while (std::getline(Lines, Line)) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    const std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    const std::size_t Value = Line.find_first_not_of(' ', Colon + 1);
    Out.m_Fields.emplace_back(Line.substr(0, Colon), Value == std::string::npos
                                                         ? ""
                                                         : Line.substr(Value));
  }
  return Out;
}

Body readBody(Socket &From, const Head &Of, bool IsResponse,
              TimePoint Deadline) {
  if (Of.field("Transfer-Encoding"))
    return readChunks(From, Deadline);
  Body Out;
  bool TimedOut = false;
  if (const auto Length = Of.field("Content-Length")) {
    const std::size_t Bytes = std::strtoul(Length->c_str(), nullptr, 10);
    const bool Whole = fill(From, Bytes, Deadline, TimedOut);
    Out.m_Bytes = From.received().substr(0, Bytes);
    From.received().erase(0, Bytes);
    Out.m_End = Whole      ? BodyEnd::Whole
                : TimedOut ? BodyEnd::TimedOut
                           : BodyEnd::CutOff;
    return Out;
  }
  Out.m_End = BodyEnd::Whole;
  if (!IsResponse)
    return Out;
  while (true) {
    const auto Result = From.read(Deadline);
    if (Result == Socket::ReadResult::Data)
      continue;
    if (Result == Socket::ReadResult::TimedOut)
      Out.m_End = BodyEnd::TimedOut;
    else if (Result == Socket::ReadResult::Reset)
      Out.m_End = BodyEnd::CutOff;
    Out.m_Bytes = std::exchange(From.received(), {});
    return Out;
  }
}

Answer readAnswer(Socket &From, TimePoint Deadline) {
  Answer Out;
  while (true) {
    auto Head = readHead(From, Deadline);
    if (!Head)
      return Out;
    constexpr unsigned Continue = 100;
    if (Head->status() == Continue)
      continue;
    Out.m_Status = Head->status();
    Out.m_Head = *std::move(Head);
    Out.m_Body = readBody(From, Out.m_Head, true, Deadline);
    return Out;
  }
}

Answer call(const Endpoint &To, const std::string &Method,
            const std::string &Path, const std::string &Body,
            Milliseconds Timeout) {
  const TimePoint Deadline = Clock::now() + Timeout;
  Socket Connection = connectTo(To, Deadline);
  if (!Connection.isOpen())
    return {};
  std::string Request = Method + " " + Path +
                        " HTTP/1.1\r\nHost: " + toString(To) +
                        "\r\nConnection: close\r\n";
  if (!Body.empty())
    Request += "Content-Type: application/json\r\n";
  if (!Body.empty() || Method != "GET")
    Request += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  if (!Connection.send(Request + "\r\n" + Body, Deadline))
    return {};
  return readAnswer(Connection, Deadline);
}

Record::Record(std::string File, std::string Source)
    : m_Source(std::move(Source)),
      m_Descriptor(open(File.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC,
                        0644)) {}

void Record::write(const std::string &Text) {
  const auto Now = std::chrono::duration_cast<Milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  const std::string Line =
      std::to_string(Now.count()) + " " + m_Source + " " + Text + "\n";
  const std::lock_guard Lock(m_Mutex);
  if (::write(m_Descriptor, Line.data(), Line.size()) < 0)
    std::perror("record");
}

} // namespace review
