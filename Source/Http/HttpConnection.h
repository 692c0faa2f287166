// One caller's connection to the HTTP server: reads requests one after another,
// hands each to the server's handler and writes its answer. Internal to Http/.
#ifndef MANGOCART_HTTP_HTTPCONNECTION_H
#define MANGOCART_HTTP_HTTPCONNECTION_H

#include "Core/Timer.h"
#include "Http/HttpRequestParser.h"
#include "Http/HttpWire.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <atomic>
#include <optional>
#include <unordered_set>

namespace mangocart {

class HttpConnection;
class HttpServerExchange;

// What all connections of a server share. The sets are touched on their own
// worker only.
struct HttpServerShared {
  std::size_t m_MaxConnections = 0;
  // By worker; each is changed on its own worker only.
  std::vector<HttpLimits> m_Limits;
  HttpServer::Handler m_OnRequest;
  std::atomic<std::size_t> m_ConnectionCount{0};
  std::atomic<std::size_t> m_ExchangeCount{0};
  // What counts for HttpLimits::m_MaxBufferedBytes.
  std::atomic<std::size_t> m_BufferedBytes{0};
  // Connections whose last answer is sent and that read no more.
  std::atomic<std::size_t> m_LingeringCount{0};
  // The acceptor and the workers that may still take a new connection or keep
  // an idle one open.
  std::atomic<std::size_t> m_OpenParts{0};
  std::atomic<bool> m_Closing{false};
  // By worker.
  std::vector<std::unordered_set<HttpConnection *>> m_Open;
};

// All functions run on the connection's worker.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  HttpConnection(boost::asio::io_context &Context,
                 boost::asio::ip::tcp::socket Socket,
                 std::shared_ptr<HttpServerShared> Shared, std::size_t Worker);
  ~HttpConnection();
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;

  void start();
  // Answers with an error before any request has been read, then closes.
  void startRefused(const HttpRefusal &Refusal);
  // Closes once bytes that were read before are handled if no request is in
  // progress or arriving then, else after its answer.
  void closeWhenIdle();
  // Asks the handler to complete the exchange in progress.
  void endExchange();

  boost::asio::io_context &context() { return m_Context; }

  // For the exchange in progress.
  void respond(HttpServerExchange &Exchange, const HttpResponse &Response);
  void startStream(const HttpHead &Head);
  void writeChunk(std::string_view Data);
  void finishStream(HttpServerExchange &Exchange);
  void abort(HttpServerExchange &Exchange);
  // The handler let go of the exchange without completing it.
  void onExchangeDropped(bool Unanswered);
  std::size_t queuedBytes() const {
    return m_Queued.size() + m_Writing.size() - m_Written;
  }

private:
  static constexpr std::size_t ReadAreaBytes = std::size_t{8} * 1024;

  void closeIfIdle();
  void read();
  void onRead(std::size_t Bytes);
  void onPeerGone();
  void process();
  void takeBytes(std::string_view Bytes);
  void startExchange();
  // The answer has been queued whole: goes on with the next request or closes.
  void onExchangeEnded(HttpServerExchange &Exchange);
  void refuse(const HttpRefusal &Refusal);
  // Counts the body of the request that arrives; false if there is no room for
  // it.
  bool reserveBody();
  void releaseBody();
  void scheduleFlush();
  void flush();
  void writeRest();
  void onDrained();
  // Sends the end of the connection and discards what still arrives, so that
  // the client reads the last answer before it sees the connection closed.
  void lingerThenClose();
  void close();
  void setReadDeadline(Duration FromNow);
  void armTimer();
  void onTimer();

  boost::asio::io_context &m_Context;
  boost::asio::ip::tcp::socket m_Socket;
  std::shared_ptr<HttpServerShared> m_Shared;
  std::size_t m_Worker;
  std::string m_RemoteAddress;

  std::array<char, ReadAreaBytes> m_ReadArea;
  // Bytes that arrived and aren't parsed yet. Bounded by the head's limit plus
  // one read, since reading stops above the limit.
  std::string m_Pending;
  bool m_Reading = false;
  std::optional<HttpRequestParser> m_Parser;

  // The exchange in progress; empty between requests.
  std::weak_ptr<HttpServerExchange> m_Exchange;
  bool m_InExchange = false;
  // The part of m_Shared->m_BufferedBytes that is this connection's.
  std::size_t m_ReservedBytes = 0;
  bool m_InProcess = false;
  HttpFraming m_Framing = HttpFraming::None;
  bool m_HeadOnly = false;
  bool m_KeepAlive = true;
  bool m_IsVersion10 = false;
  bool m_AnyRequestDone = false;

  // Output: m_Writing is being sent, from m_Written on; m_Queued follows it.
  std::string m_Queued;
  std::string m_Writing;
  std::size_t m_Written = 0;
  bool m_WriteInProgress = false;
  bool m_FlushScheduled = false;
  bool m_CloseAfterWrite = false;
  bool m_Lingering = false;
  bool m_Closed = false;

  Timer m_Timer;
  std::optional<TimePoint> m_TimerDue;
  std::optional<TimePoint> m_ReadDeadline;
  std::optional<TimePoint> m_WriteDeadline;
};

// In place of an answer that a handler doesn't give, or gives in a form that
// can't be sent unchanged: the request may have run.
HttpResponse missingResponse();

// The handler's side of one request. Outlives neither the worker pool nor
// blocks the connection: dropped without an answer, it answers 500.
class HttpServerExchange : public HttpExchange {
public:
  HttpServerExchange(std::shared_ptr<HttpConnection> Connection,
                     std::shared_ptr<HttpServerShared> Shared,
                     HttpRequest Request);
  ~HttpServerExchange() override;
  HttpServerExchange(const HttpServerExchange &) = delete;
  HttpServerExchange &operator=(const HttpServerExchange &) = delete;

  const HttpRequest &request() const override { return m_Request; }
  boost::asio::any_io_executor executor() override {
    return m_Connection->context().get_executor();
  }
  void respond(HttpResponse Response) override;
  void startStream(HttpHead Head) override;
  void writeChunk(std::string Data) override;
  void finishStream() override;
  void abort() override;
  std::size_t queuedBytes() const override;
  void onDrained(std::function<void()> Handler) override;
  void onClosed(std::function<void()> Handler) override;
  void onStopping(std::function<void()> Handler) override;

  // Called by the connection.
  void drained();
  void stopping();
  void closed();
  // No function has an effect any more.
  void complete();

private:
  enum class Phase { Waiting, Streaming, Complete };

  std::shared_ptr<HttpConnection> m_Connection;
  std::shared_ptr<HttpServerShared> m_Shared;
  HttpRequest m_Request;
  Phase m_Phase = Phase::Waiting;
  std::function<void()> m_OnDrained;
  std::function<void()> m_OnClosed;
  std::function<void()> m_OnStopping;
};

} // namespace mangocart

#endif
