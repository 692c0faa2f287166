// HTTP/1.1 server on the worker pool with bounds on everything that a client
// can make it hold. A request that is malformed, too large or too slow is
// answered with its status at once and disturbs no other connection.
#ifndef MANGOCART_HTTP_HTTPSERVER_H
#define MANGOCART_HTTP_HTTPSERVER_H

#include "Core/Result.h"
#include "Core/RuntimeClock.h"
#include "Http/HttpMessage.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace mangocart {

class WorkerPool;

struct HttpLimits {
  std::size_t m_MaxConnections = 4096;
  std::size_t m_MaxHeaderBytes = std::size_t{16} * 1024;
  std::size_t m_MaxHeaders = 100;
  std::size_t m_MaxBodyBytes = std::size_t{1024} * 1024;
  // Largest sum over all connections of the bodies that arrive or wait for
  // their answers, but for the first m_SmallBodyBytes of each, so that clients
  // with large bodies don't keep out those with small ones. One largest body is
  // accepted in any case. A request beyond that is refused with 503.
  std::size_t m_MaxBufferedBytes = std::size_t{32} * 1024 * 1024;
  std::size_t m_SmallBodyBytes = std::size_t{16} * 1024;
  // For a request to arrive whole once its first byte has come, and for a
  // first request on a new connection.
  Duration m_ReadTimeout = std::chrono::seconds(10);
  // For a kept connection to send its next request.
  Duration m_IdleTimeout = std::chrono::seconds(60);
  // For a client to take any byte of an answer that is waiting for it.
  Duration m_WriteTimeout = std::chrono::seconds(30);
};

// One request and the answer to it. All functions are called on the exchange's
// own worker, see executor(). Exactly one of respond(), or startStream() with
// finishStream() or abort(), completes it. A head that isn't sendable is
// answered with status 500, as without some of its parts it would be the head
// of another answer.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest &request() const = 0;
  virtual boost::asio::any_io_executor executor() = 0;

  // Answers whole, with Content-Length.
  virtual void respond(HttpResponse Response) = 0;

  // Answers piece by piece, chunked.
  virtual void startStream(HttpHead Head) = 0;
  virtual void writeChunk(std::string Data) = 0;
  // Ends the answer as complete (sends the final chunk).
  virtual void finishStream() = 0;
  // Closes the connection without the final chunk, so that the client can't
  // take the answer for complete.
  virtual void abort() = 0;

  // Bytes of the answer that the client has not taken yet.
  virtual std::size_t queuedBytes() const = 0;
  // Called each time that queuedBytes() falls to zero.
  virtual void onDrained(std::function<void()> Handler) = 0;
  // Called once when the client goes away before the answer is complete.
  virtual void onClosed(std::function<void()> Handler) = 0;
  // Called once when the server is told to end its exchanges. The handler
  // completes the exchange; without a handler its connection is closed when the
  // process ends.
  virtual void onStopping(std::function<void()> Handler) = 0;
};

enum class HttpErrorCode {
  ListenFailed,
  ConnectFailed,
  TimedOut,
  ConnectionLost,
  Malformed,
  TooLarge,
  Cancelled
};

struct HttpError {
  HttpErrorCode m_Code = HttpErrorCode::ConnectionLost;
  std::string m_Detail;
  // True when no byte of the request can have reached the other side.
  bool m_NothingSent = false;

  bool operator==(const HttpError &) const = default;
};

// The pool must outlive the server. Once the server is destroyed, idle
// connections close; stop the workers first if the handler must not be called
// again.
class HttpServer {
public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  HttpServer(WorkerPool &Workers, HttpLimits Limits, Handler OnRequest);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  Result<void, HttpError> listen(const std::string &Address,
                                 std::uint16_t Port);
  // The port in use; useful after listen() with port 0.
  std::uint16_t port() const;
  // Limits of requests that begin from now on; the number of connections stays
  // as it was given at the start.
  void setLimits(const HttpLimits &Limits);
  // Takes no new connection; open ones finish their request, then close.
  void closeListener();
  // Calls the onStopping() handlers of all exchanges in progress, each on its
  // worker.
  void endExchanges();

  std::size_t connectionCount() const;
  // Requests that were handed to the handler and aren't answered yet.
  std::size_t exchangeCount() const;
  // What a client may still send or wait for: connections on which a request is
  // arriving or in progress, or an answer isn't sent whole. Until
  // closeListener() has taken effect, all connections and the listener count.
  // Once it is zero after that, it stays zero.
  std::size_t pendingCount() const;

private:
  struct State;
  std::shared_ptr<State> m_State;
};

} // namespace mangocart

#endif
