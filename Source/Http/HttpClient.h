// HTTP/1.1 client that keeps connections open per worker and address. An answer
// is handed over piece by piece.
#ifndef MANGOCART_HTTP_HTTPCLIENT_H
#define MANGOCART_HTTP_HTTPCLIENT_H

#include "Http/HttpMessage.h"
#include "Http/HttpServer.h"

#include <boost/asio/io_context.hpp>

#include <limits>

namespace mangocart {

struct HttpTarget {
  std::string m_Address;
  std::uint16_t m_Port = 0;

  auto operator<=>(const HttpTarget &) const = default;
};

struct HttpClientOptions {
  // For the connection to be made; no byte of the request has left then.
  Duration m_ConnectTimeout = std::chrono::seconds(1);
  // Bytes that the server doesn't acknowledge for so long end the connection;
  // several retransmissions fit in.
  std::chrono::milliseconds m_UnacknowledgedTimeout{1500};
  // A kept connection is used again within this time, and within this part of
  // what the server's Keep-Alive header allows.
  Duration m_MaxIdle = std::chrono::seconds(4);
  double m_KeepAlivePart = 0.6;
  // Whether an answer without length and chunks, which only the end of the
  // connection ends, is whole when the server closes in good order: reading
  // reached the end without an error, and so did writing the whole request.
  // Refused otherwise, as a server that dies may leave the same behind.
  bool m_TakesEndByClosing = false;
  // Whether a connection is kept after a call whose answer names no call
  // (HttpCallHandlers::m_OwnerOf is absent). A server that writes an answer
  // twice then answers the next such call wrongly. Calls whose answers name
  // their call never use these connections.
  bool m_KeepsUnnamed = true;

  bool operator==(const HttpClientOptions &) const = default;
};

// Handlers run on the call's worker. After m_OnEnd or m_OnError none is called.
struct HttpCallHandlers {
  std::function<void(HttpHead)> m_OnHead;
  std::function<void(std::string_view)> m_OnBody;
  std::function<void()> m_OnEnd;
  std::function<void(HttpError)> m_OnError;
  // Tells the owner of an answer. One to another call is read to its end and
  // dropped, the next one is awaited, and the connection is not kept. One of an
  // unknown owner is taken on a connection that has carried no other call,
  // which is not kept; otherwise the call fails and the connection is closed.
  // Absent: answers name no call.
  std::function<AnswerOwner(const HttpHead &)> m_OwnerOf;
  // Largest body; the call fails with TooLarge when more has arrived. For
  // takers that keep the body; others may have bodies of any size.
  std::size_t m_MaxBodyBytes = std::numeric_limits<std::size_t>::max();
};

class HttpCall {
public:
  virtual ~HttpCall() = default;
  // Closes the connection; no handler is called any more.
  virtual void cancel() = 0;
  // Stops and resumes reading, so that a slow taker bounds what is held.
  virtual void pauseReading() = 0;
  virtual void resumeReading() = 0;
};

// One client belongs to one worker and is used on it only.
class HttpClient {
public:
  explicit HttpClient(boost::asio::io_context &Worker,
                      const HttpClientOptions &Options = {});
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  // Deadline is for the whole answer. A request is written once; nothing is
  // retried here. A kept connection that the server closed before any byte was
  // written is replaced silently.
  std::shared_ptr<HttpCall> send(const HttpTarget &Target, HttpRequest Request,
                                 Duration Deadline, HttpCallHandlers Handlers);

private:
  struct State;
  std::shared_ptr<State> m_State;
};

} // namespace mangocart

#endif
