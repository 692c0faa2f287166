// Sockets with deadlines, and the part of HTTP/1.1 that the stand-ins need.
#ifndef MANGOCART_REVIEW_WIRE_H
#define MANGOCART_REVIEW_WIRE_H

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

struct Endpoint {
  std::string m_Address;
  std::uint16_t m_Port = 0;

  auto operator<=>(const Endpoint &) const = default;
};

std::string toString(const Endpoint &At);
// "127.0.0.1:80"; ends the process with code 2 if it isn't of that form.
Endpoint parseEndpoint(const std::string &Text);

// A socket that is closed with the object.
class Socket {
public:
  Socket() = default;
  explicit Socket(int Descriptor) : m_Descriptor(Descriptor) {}
  ~Socket() { close(); }
  Socket(Socket &&Other) noexcept
      : m_Descriptor(std::exchange(Other.m_Descriptor, -1)),
        m_Received(std::move(Other.m_Received)) {}
  Socket &operator=(Socket &&Other) noexcept;

  bool isOpen() const { return m_Descriptor >= 0; }
  int descriptor() const { return m_Descriptor; }
  void close();
  // Closes with a reset.
  void reset();
  // Returns false if the peer doesn't take all bytes before the deadline.
  bool send(std::string_view Bytes, TimePoint Deadline);
  enum class ReadResult { Data, End, Reset, TimedOut };
  // Appends what arrives to received().
  ReadResult read(TimePoint Deadline, std::size_t MaxBytes = 65536);
  std::string &received() { return m_Received; }
  // The peer has closed or reset the connection.
  bool isClosedByPeer();

private:
  int m_Descriptor = -1;
  std::string m_Received;
};

// Not open if there is no connection before the deadline. ReceiveBuffer 0: the
// system's default.
Socket connectTo(const Endpoint &To, TimePoint Deadline, int ReceiveBuffer = 0);
// Not open if the address is in use.
Socket listenOn(const Endpoint &At);
Socket acceptFrom(Socket &Listener, TimePoint Deadline);

struct Head {
  // The words of the first line.
  std::vector<std::string> m_Words;
  std::vector<std::pair<std::string, std::string>> m_Fields;

  std::optional<std::string> field(std::string_view Name) const;
  // The status of a response; 0 if the line is none.
  unsigned status() const;
};

// Takes one head off the received bytes; nothing if the connection ends or the
// deadline passes before.
std::optional<Head> readHead(Socket &From, TimePoint Deadline);

enum class BodyEnd { Whole, CutOff, TimedOut };

struct Body {
  std::string m_Bytes;
  BodyEnd m_End = BodyEnd::CutOff;
};

// Reads the body of a message: by length, in chunks, or, for a response without
// either, up to the end of the connection.
Body readBody(Socket &From, const Head &Of, bool IsResponse,
              TimePoint Deadline);

struct Answer {
  // 0: no head was received.
  unsigned m_Status = 0;
  Head m_Head;
  Body m_Body;
};

Answer readAnswer(Socket &From, TimePoint Deadline);
// One call on a connection of its own.
Answer call(const Endpoint &To, const std::string &Method,
            const std::string &Path, const std::string &Body,
            Milliseconds Timeout);

// The file record.txt of a case. Several processes append to it.
class Record {
public:
  Record(std::string File, std::string Source);
  // Line: "MILLISECONDS SOURCE TEXT"; the time is that of the machine.
  void write(const std::string &Text);

private:
  std::mutex m_Mutex;
  const std::string m_Source;
  int m_Descriptor = -1;
};

} // namespace review

#endif
