// One connection of the HTTP client and the call that uses it. Internal to
// Http/.
#ifndef MANGOCART_HTTP_HTTPCLIENTCONNECTION_H
#define MANGOCART_HTTP_HTTPCLIENTCONNECTION_H

#include "Core/Timer.h"
#include "Http/HttpClient.h"
#include "Http/HttpResponseParser.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <optional>

namespace mangocart {

class HttpClientCall;
class HttpClientConnection;

// Keeps connections that have answered a call and can take another one.
class HttpConnectionKeeper {
public:
  virtual ~HttpConnectionKeeper() = default;
  virtual void keep(std::shared_ptr<HttpClientConnection> Connection) = 0;
  // A kept connection was closed by the server.
  virtual void forget(HttpClientConnection &Connection) = 0;
};

class HttpClientConnection
    : public std::enable_shared_from_this<HttpClientConnection> {
public:
  HttpClientConnection(boost::asio::io_context &Worker, HttpTarget Target,
                       const HttpClientOptions &Options,
                       std::weak_ptr<HttpConnectionKeeper> Keeper, bool Named);

  const HttpTarget &target() const { return m_Target; }
  // Whether it carries calls whose answers name them.
  bool isNamed() const { return m_Named; }
  // Whether it has carried a call before the current one.
  bool isReused() const { return m_Calls > 1; }

  // Connects, then writes the call's request.
  void connectFor(std::shared_ptr<HttpClientCall> Call);
  // Writes the call's request on a kept connection. False when the connection
  // was found closed before any byte was written; the call is untouched then.
  bool reuseFor(const std::shared_ptr<HttpClientCall> &Call);
  // While kept: whether it has rested no longer than the time that it is kept
  // for. The timer that closes it may come late.
  bool isFresh(TimePoint Now) const { return Now - m_KeptSince <= m_KeptFor; }
  void close();
  void pauseReading() { m_Paused = true; }
  void resumeReading();

private:
  static constexpr std::size_t ReadAreaBytes = std::size_t{16} * 1024;

  // Result of the first, immediate write.
  enum class FirstWrite { Taken, NothingTaken };

  bool isOpenAtPeer();
  FirstWrite writeFirst();
  void writeRest();
  bool isRequestWritten() const;
  void onWriteFailed(const boost::system::error_code &Error);
  void read();
  void onRead(std::size_t Bytes);
  void onEnd(const boost::system::error_code &Error);
  // How long the server may be expected to keep the idle connection open.
  Duration keepTime() const;
  void feed(std::string_view Bytes);
  void finishCall(bool Keep);
  void failLost(const boost::system::error_code &Error);
  void fail(HttpErrorCode Code, std::string Detail);

  boost::asio::ip::tcp::socket m_Socket;
  HttpTarget m_Target;
  const HttpClientOptions m_Options;
  std::weak_ptr<HttpConnectionKeeper> m_Keeper;
  const bool m_Named;
  // Calls that were written.
  std::uint64_t m_Calls = 0;
  // Runs while a connection is made and while it is kept.
  Timer m_Timer;
  TimePoint m_KeptSince;
  Duration m_KeptFor{};
  // Empty while the connection is kept for the next call.
  std::shared_ptr<HttpClientCall> m_Call;
  std::optional<HttpResponseParser> m_Parser;
  std::array<char, ReadAreaBytes> m_ReadArea;
  // Bytes of an unfinished head or chunk head.
  std::string m_Pending;
  // Bytes in m_ReadArea that arrived while reading was paused.
  std::size_t m_HeldBytes = 0;
  // Bytes of interim responses and of answers to other requests since the
  // request was written.
  std::size_t m_SkippedBytes = 0;
  std::size_t m_Written = 0;
  std::optional<boost::system::error_code> m_WriteError;
  // The server has ended an answer by ending its direction of the connection.
  // The answer is whole if the rest of the request can be written.
  bool m_IsEndRead = false;
  bool m_Reading = false;
  bool m_Paused = false;
  bool m_Closed = false;
  // An answer to an earlier request came: what follows may be one as well.
  bool m_Tainted = false;
};

class HttpClientCall : public HttpCall,
                       public HttpResponseSink,
                       public std::enable_shared_from_this<HttpClientCall> {
public:
  HttpClientCall(boost::asio::io_context &Worker, const HttpTarget &Target,
                 HttpRequest Request, HttpCallHandlers Handlers);

  void startDeadline(Duration Deadline);
  void attach(std::shared_ptr<HttpClientConnection> Connection) {
    m_Connection = std::move(Connection);
  }

  void cancel() override;
  void pauseReading() override;
  void resumeReading() override;

  AnswerOwner ownerOf(const HttpHead &Head) override;
  bool takeHead(HttpHead Head) override;
  bool takeBody(std::string_view Piece) override;
  void end();
  void fail(HttpError Error);

  bool finished() const { return m_Finished; }
  bool isHead() const { return m_IsHead; }
  bool isNamed() const { return m_Handlers.m_OwnerOf != nullptr; }
  // Whether its answer named it.
  bool isAnswerNamed() const { return m_IsAnswerNamed; }
  const std::string &headText() const { return m_HeadText; }
  const std::string &body() const { return m_Body; }
  // Set once any byte of the request has been handed to the system.
  void markSent() { m_AnySent = true; }
  bool anySent() const { return m_AnySent; }

private:
  void finish();

  HttpCallHandlers m_Handlers;
  std::string m_HeadText;
  std::string m_Body;
  Timer m_Deadline;
  std::shared_ptr<HttpClientConnection> m_Connection;
  bool m_IsHead;
  // Bytes of the body that have arrived.
  std::size_t m_BodyBytes = 0;
  // Set when the owner of an answer is looked up.
  bool m_IsAnswerNamed = false;
  bool m_AnySent = false;
  bool m_Finished = false;
};

} // namespace mangocart

#endif
