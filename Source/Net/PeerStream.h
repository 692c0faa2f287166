// Streams between processes of the system: HTTP/2 by nghttp2, one TCP
// connection a pair of processes, one stream a request. A message in a stream
// is a length and that many bytes. A stream is complete only when its last
// message has been received and the sender has ended it; a reset or a lost
// connection is an error.
#ifndef MANGOCART_NET_PEERSTREAM_H
#define MANGOCART_NET_PEERSTREAM_H

#include "Core/Result.h"
#include "Core/RuntimeClock.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mangocart {

class WorkerPool;

enum class PeerErrorCode {
  ConnectFailed,
  ConnectionLost,
  StreamReset,
  TimedOut,
  Malformed,
  ListenFailed,
  UnknownMethod
};

struct PeerError {
  PeerErrorCode m_Code = PeerErrorCode::ConnectionLost;
  std::string m_Detail;
  // True when no byte of the request can have reached the other side.
  bool m_NothingSent = false;

  bool operator==(const PeerError &) const = default;
};

// Handlers run on the stream's worker. After m_OnEnd or m_OnError none is
// called.
struct PeerStreamHandlers {
  std::function<void(std::string_view Message)> m_OnMessage;
  std::function<void()> m_OnEnd;
  std::function<void(PeerError)> m_OnError;
};

// One request and its answer. All functions may be called from any thread.
class PeerStream {
public:
  virtual ~PeerStream() = default;

  virtual boost::asio::any_io_executor executor() = 0;
  virtual void setHandlers(PeerStreamHandlers Handlers) = 0;
  virtual void send(std::string Message) = 0;
  // Ends this side's half; the stream closes when both sides have ended.
  virtual void finish() = 0;
  // Ends both halves at once; the other side sees StreamReset.
  virtual void reset() = 0;
  // Bytes handed to send() that the other side's window has not taken yet.
  virtual std::size_t queuedBytes() const = 0;
  // Called each time that queuedBytes() falls to zero.
  virtual void onDrained(std::function<void()> Handler) = 0;
  // While reading is paused the sender's window is not opened again.
  virtual void pauseReading() = 0;
  virtual void resumeReading() = 0;
};

struct PeerEndpoint {
  std::string m_Address;
  std::uint16_t m_Port = 0;

  auto operator<=>(const PeerEndpoint &) const = default;
};

// Accepts connections of other processes and hands each stream to the handler
// of its method ("/agent/call").
class PeerServer {
public:
  using MethodHandler = std::function<void(std::shared_ptr<PeerStream>)>;

  explicit PeerServer(WorkerPool &Workers);
  ~PeerServer();
  PeerServer(const PeerServer &) = delete;
  PeerServer &operator=(const PeerServer &) = delete;

  // Before listen() only. The handler sets the stream's handlers before it
  // returns.
  void addMethod(std::string Method, MethodHandler Handler);
  Result<void, PeerError> listen(const std::string &Address,
                                 std::uint16_t Port);
  // Accepts no more; the workers end the open connections, so that the other
  // sides see it at once and not after their probes.
  void close();

private:
  struct State;
  std::shared_ptr<State> m_State;
};

// Opens streams to other processes over one connection each, made on first use
// and made again after a loss.
class PeerClient {
public:
  explicit PeerClient(WorkerPool &Workers);
  ~PeerClient();
  PeerClient(const PeerClient &) = delete;
  PeerClient &operator=(const PeerClient &) = delete;

  std::shared_ptr<PeerStream> open(const PeerEndpoint &To, std::string Method,
                                   PeerStreamHandlers Handlers);

  using UnaryHandler = std::function<void(Result<std::string, PeerError>)>;
  // One message there, one message back.
  void call(const PeerEndpoint &To, std::string Method, std::string Message,
            Duration Timeout, UnaryHandler Done);

  // Ends the connection and its streams; the next stream makes a new one.
  void disconnect(const PeerEndpoint &From);

  struct Traffic {
    std::uint64_t m_BytesSent = 0;
    std::uint64_t m_BytesReceived = 0;
  };
  Traffic traffic() const;

private:
  struct State;
  std::shared_ptr<State> m_State;
};

} // namespace mangocart

#endif
