// HTTP/1.1 over blocking sockets, for the stand-ins of the review.
#ifndef MANGOCART_REVIEW_HTTP_H
#define MANGOCART_REVIEW_HTTP_H

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace review {

struct Endpoint {
  std::string m_Address;
  std::uint16_t m_Port = 0;
};

// Reads "ADDRESS:PORT"; throws std::invalid_argument if it is something else.
Endpoint parseEndpoint(const std::string &Text);

struct Message {
  // The request line or the status line.
  std::string m_FirstLine;
  // Names in lower case.
  std::map<std::string, std::string> m_Headers;
  std::string m_Body;

  std::string header(const std::string &Name) const;
  // Status of a response; 0 if the line has none.
  unsigned status() const;
  // Method and target of a request.
  std::string method() const;
  std::string target() const;
};

// Owns a connected socket.
class Connection {
public:
  explicit Connection(int Socket) : m_Socket(Socket) {}
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  void setTimeout(std::chrono::milliseconds Timeout);
  bool write(const std::string &Bytes);
  // Returns nothing if the connection ends or times out before the message is
  // whole.
  std::optional<Message> read();

private:
  bool fill();

  int m_Socket;
  std::string m_Buffer;
};

// Returns a listening socket; throws std::runtime_error if the address is in
// use.
int listenAt(const Endpoint &At);

// Returns a connected socket, or -1.
int connectTo(const Endpoint &To, std::chrono::milliseconds Timeout);

// Sends one request on a connection of its own. Returns nothing without a whole
// response within the time.
std::optional<Message> call(const Endpoint &To, const std::string &Method,
                            const std::string &Target,
                            const std::map<std::string, std::string> &Headers,
                            const std::string &Body,
                            std::chrono::milliseconds Timeout);

// Milliseconds since the epoch, for the records.
std::int64_t nowMs();

} // namespace review

#endif
