// Reading, ordering and writing on one connection. A read is always
// outstanding while there is room, so that a client that goes away is noticed
// while its request is still being worked on.
#include "Http/HttpConnection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace mangocart {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// How long the last bytes of a refused client are read and discarded.
constexpr Duration LingerTimeout = std::chrono::seconds(2);
// What a refused client should wait before it comes again.
constexpr const char *RetryAfterSeconds = "1";

HttpResponse refusalResponse(const HttpRefusal &Refusal) {
  HttpResponse Response;
  Response.m_Head.m_Status = Refusal.m_Status;
  auto &Headers = Response.m_Head.m_Headers;
  Headers.push_back({"Content-Type", "text/plain"});
  Headers.push_back({"Mangocart-Outcome", "not-run"});
  if (Refusal.m_Status == 503 || Refusal.m_Status == 408)
    Headers.push_back({"Retry-After", RetryAfterSeconds});
  Response.m_Body = Refusal.m_Detail + "\n";
  return Response;
}

} // namespace

HttpResponse missingResponse() {
  return {{500, {{"Mangocart-Outcome", "unknown"}, {"Connection", "close"}}},
          ""};
}

HttpConnection::HttpConnection(asio::io_context &Context,
                               asio::ip::tcp::socket Socket,
                               std::shared_ptr<HttpServerShared> Shared,
                               std::size_t Worker)
    : m_Context(Context), m_Socket(std::move(Socket)),
      m_Shared(std::move(Shared)), m_Worker(Worker), m_Timer(Context) {}

HttpConnection::~HttpConnection() {
  releaseBody();
  if (m_Closed)
    return;
  if (m_Lingering)
    --m_Shared->m_LingeringCount;
  --m_Shared->m_ConnectionCount;
}

void HttpConnection::start() {
  error_code Ignored;
  m_Socket.non_blocking(true, Ignored);
  m_Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  const auto Remote = m_Socket.remote_endpoint(Ignored);
  m_RemoteAddress = Remote.address().to_string();
  m_Shared->m_Open[m_Worker].insert(this);
  m_Parser.emplace(m_Shared->m_Limits[m_Worker]);
  setReadDeadline(m_Shared->m_Limits[m_Worker].m_ReadTimeout);
  read();
  if (m_Shared->m_Closing)
    closeWhenIdle();
}

void HttpConnection::startRefused(const HttpRefusal &Refusal) {
  error_code Ignored;
  m_Socket.non_blocking(true, Ignored);
  m_Shared->m_Open[m_Worker].insert(this);
  refuse(Refusal);
  if (!m_Closed)
    read();
}

void HttpConnection::closeWhenIdle() {
  asio::post(m_Context, [Self = shared_from_this()] { Self->closeIfIdle(); });
}

void HttpConnection::closeIfIdle() {
  if (m_InExchange || m_Closed || m_CloseAfterWrite)
    return;
  if (queuedBytes() > 0) {
    // The last answer is still on its way.
    m_CloseAfterWrite = true;
    return;
  }
  const bool RequestArriving = m_Parser && m_Parser->started();
  error_code Ignored;
  if (!RequestArriving && m_Socket.available(Ignored) == 0)
    close();
}

void HttpConnection::endExchange() {
  if (const auto Exchange = m_Exchange.lock())
    Exchange->stopping();
}

// --- Reading

void HttpConnection::read() {
  if (m_Reading || m_Closed)
    return;
  // A client that sends further requests before its answer is held back here.
  if (m_InExchange &&
      m_Pending.size() > m_Shared->m_Limits[m_Worker].m_MaxHeaderBytes)
    return;
  m_Reading = true;
  m_Socket.async_read_some(
      asio::buffer(m_ReadArea),
      [Self = shared_from_this()](error_code Error, std::size_t Bytes) {
        Self->m_Reading = false;
        if (Error)
          return Self->onPeerGone();
        Self->onRead(Bytes);
      });
}

void HttpConnection::onRead(std::size_t Bytes) {
  if (m_Closed)
    return;
  const std::string_view Fresh(m_ReadArea.data(), Bytes);
  if (!m_Lingering && !m_CloseAfterWrite) {
    if (m_InExchange) {
      m_Pending.append(Fresh);
    } else if (m_Pending.empty()) {
      takeBytes(Fresh);
    } else {
      m_Pending.append(Fresh);
      process();
    }
  }
  read();
}

void HttpConnection::onPeerGone() { close(); }

void HttpConnection::process() {
  if (m_InProcess || m_InExchange || m_Closed || m_Pending.empty())
    return;
  const std::string Bytes = std::move(m_Pending);
  m_Pending.clear();
  takeBytes(Bytes);
}

void HttpConnection::takeBytes(std::string_view Bytes) {
  const auto Self = shared_from_this();
  m_InProcess = true;
  while (!Bytes.empty() && !m_InExchange && !m_CloseAfterWrite && !m_Closed) {
    const bool WasStarted = m_Parser->started();
    const auto Progress = m_Parser->take(Bytes);
    if (Progress == HttpRequestParser::Progress::Refused) {
      refuse(m_Parser->refusal());
      break;
    }
    if (!reserveBody()) {
      refuse({503, "too many large requests are in progress"});
      break;
    }
    if (Progress == HttpRequestParser::Progress::Done) {
      startExchange();
      continue;
    }
    if (!WasStarted && m_Parser->started() && m_AnyRequestDone)
      setReadDeadline(m_Shared->m_Limits[m_Worker].m_ReadTimeout);
    if (m_Parser->takeContinueWish()) {
      m_Queued.append("HTTP/1.1 100 Continue\r\n\r\n");
      flush();
    }
    break;
  }
  m_InProcess = false;
  if (!m_Closed && !m_CloseAfterWrite)
    m_Pending.insert(0, Bytes);
}

// --- Exchanges

void HttpConnection::startExchange() {
  m_InExchange = true;
  m_AnyRequestDone = true;
  m_ReadDeadline.reset();
  m_KeepAlive = m_Parser->keepAlive() && !m_Parser->isVersion10();
  m_IsVersion10 = m_Parser->isVersion10();
  m_HeadOnly = m_Parser->request().m_Method == "HEAD";
  m_Parser->request().m_RemoteAddress = m_RemoteAddress;
  auto Exchange = std::make_shared<HttpServerExchange>(
      shared_from_this(), m_Shared, std::move(m_Parser->request()));
  m_Exchange = Exchange;
  m_Shared->m_OnRequest(std::move(Exchange));
}

void HttpConnection::respond(HttpServerExchange &Exchange,
                             const HttpResponse &Response) {
  const HttpHead &Head = Response.m_Head;
  m_KeepAlive =
      m_KeepAlive && !m_Shared->m_Closing && !wantsClose(Head.m_Headers);
  const bool HasBody = statusHasBody(Head.m_Status);
  appendResponseHead(m_Queued, Head,
                     HasBody ? HttpFraming::ContentLength : HttpFraming::None,
                     Response.m_Body.size(), m_KeepAlive);
  if (HasBody && !m_HeadOnly)
    m_Queued.append(Response.m_Body);
  onExchangeEnded(Exchange);
}

void HttpConnection::startStream(const HttpHead &Head) {
  m_Framing = HttpFraming::Chunked;
  if (m_IsVersion10)
    m_Framing = HttpFraming::UntilClose;
  if (!statusHasBody(Head.m_Status))
    m_Framing = HttpFraming::None;
  m_KeepAlive =
      m_KeepAlive && !m_Shared->m_Closing && !wantsClose(Head.m_Headers);
  appendResponseHead(m_Queued, Head, m_Framing, 0, m_KeepAlive);
  scheduleFlush();
}

void HttpConnection::writeChunk(std::string_view Data) {
  if (m_HeadOnly || m_Framing == HttpFraming::None)
    return;
  if (m_Framing == HttpFraming::Chunked)
    appendChunk(m_Queued, Data);
  else
    m_Queued.append(Data);
  scheduleFlush();
}

void HttpConnection::finishStream(HttpServerExchange &Exchange) {
  if (!m_HeadOnly && m_Framing == HttpFraming::Chunked)
    appendFinalChunk(m_Queued);
  onExchangeEnded(Exchange);
}

void HttpConnection::abort(HttpServerExchange &Exchange) {
  Exchange.complete();
  m_Exchange.reset();
  error_code Ignored;
  // Without chunks only a reset tells the client that the answer is cut.
  if (m_Framing == HttpFraming::UntilClose)
    m_Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  close();
}

void HttpConnection::onExchangeDropped(bool Unanswered) {
  if (m_Closed || !m_InExchange)
    return;
  if (!Unanswered)
    return close();
  appendResponseHead(m_Queued, missingResponse().m_Head,
                     HttpFraming::ContentLength, 0, false);
  m_CloseAfterWrite = true;
  flush();
}

void HttpConnection::onExchangeEnded(HttpServerExchange &Exchange) {
  const auto Self = shared_from_this();
  Exchange.complete();
  m_Exchange.reset();
  m_InExchange = false;
  releaseBody();
  m_CloseAfterWrite = !m_KeepAlive || m_Shared->m_Closing;
  m_Framing = HttpFraming::None;
  flush();
  if (m_Closed || m_CloseAfterWrite)
    return;
  m_Parser.emplace(m_Shared->m_Limits[m_Worker]);
  setReadDeadline(m_Shared->m_Limits[m_Worker].m_IdleTimeout);
  if (m_InProcess)
    return;
  process();
  read();
}

void HttpConnection::refuse(const HttpRefusal &Refusal) {
  const HttpResponse Response = refusalResponse(Refusal);
  appendResponseHead(m_Queued, Response.m_Head, HttpFraming::ContentLength,
                     Response.m_Body.size(), false);
  m_Queued.append(Response.m_Body);
  // What has arrived of the request isn't needed while the client reads this.
  if (m_Parser)
    m_Parser->request() = {};
  releaseBody();
  m_ReadDeadline.reset();
  m_CloseAfterWrite = true;
  flush();
}

bool HttpConnection::reserveBody() {
  const HttpLimits &Limits = m_Shared->m_Limits[m_Worker];
  const std::size_t Body = m_Parser->request().m_Body.size();
  const std::size_t Needed = Body - std::min(Body, Limits.m_SmallBodyBytes);
  if (Needed <= m_ReservedBytes)
    return true;
  const std::size_t Added = Needed - m_ReservedBytes;
  m_ReservedBytes = Needed;
  return m_Shared->m_BufferedBytes.fetch_add(Added) + Added <=
         std::max(Limits.m_MaxBufferedBytes, Limits.m_MaxBodyBytes);
}

void HttpConnection::releaseBody() {
  m_Shared->m_BufferedBytes -= std::exchange(m_ReservedBytes, 0);
}

// --- Writing

void HttpConnection::scheduleFlush() {
  if (m_FlushScheduled || m_WriteInProgress)
    return;
  m_FlushScheduled = true;
  // Pieces that a handler writes in one go leave in one write.
  asio::post(m_Context, [Self = shared_from_this()] {
    Self->m_FlushScheduled = false;
    Self->flush();
  });
}

void HttpConnection::flush() {
  if (m_WriteInProgress || m_Closed)
    return;
  if (m_Queued.empty()) {
    // The last bytes of the answer may have left before it was ended.
    if (m_CloseAfterWrite && !m_Lingering)
      lingerThenClose();
    return;
  }
  m_Writing.swap(m_Queued);
  m_Queued.clear();
  m_Written = 0;
  error_code Error;
  m_Written = m_Socket.write_some(asio::buffer(m_Writing), Error);
  if (Error && Error != asio::error::would_block &&
      Error != asio::error::try_again)
    return close();
  if (m_Written < m_Writing.size())
    return writeRest();
  onDrained();
}

void HttpConnection::writeRest() {
  m_WriteInProgress = true;
  m_WriteDeadline =
      RuntimeClock::now() + m_Shared->m_Limits[m_Worker].m_WriteTimeout;
  armTimer();
  const auto Rest =
      asio::buffer(m_Writing.data() + m_Written, m_Writing.size() - m_Written);
  m_Socket.async_write_some(
      Rest, [Self = shared_from_this()](error_code Error, std::size_t Bytes) {
        Self->m_WriteInProgress = false;
        Self->m_WriteDeadline.reset();
        if (Self->m_Closed)
          return;
        if (Error)
          return Self->close();
        Self->m_Written += Bytes;
        if (Self->m_Written < Self->m_Writing.size())
          return Self->writeRest();
        Self->onDrained();
      });
}

void HttpConnection::onDrained() {
  m_Writing.clear();
  m_Written = 0;
  if (!m_Queued.empty())
    return flush();
  if (m_CloseAfterWrite)
    return lingerThenClose();
  if (const auto Exchange = m_Exchange.lock())
    Exchange->drained();
}

// --- Closing

void HttpConnection::lingerThenClose() {
  error_code Error;
  m_Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Error);
  if (Error)
    return close();
  m_Lingering = true;
  ++m_Shared->m_LingeringCount;
  m_Pending.clear();
  setReadDeadline(LingerTimeout);
  read();
}

void HttpConnection::close() {
  if (m_Closed)
    return;
  const auto Self = shared_from_this();
  m_Closed = true;
  m_Shared->m_Open[m_Worker].erase(this);
  if (m_Lingering)
    --m_Shared->m_LingeringCount;
  --m_Shared->m_ConnectionCount;
  error_code Ignored;
  m_Socket.close(Ignored);
  m_Timer.cancel();
  m_Pending.clear();
  m_Queued.clear();
  releaseBody();
  if (const auto Exchange = m_Exchange.lock())
    Exchange->closed();
  m_Exchange.reset();
}

// --- Time limits

void HttpConnection::setReadDeadline(Duration FromNow) {
  m_ReadDeadline = RuntimeClock::now() + FromNow;
  armTimer();
}

void HttpConnection::armTimer() {
  if (m_Closed)
    return;
  std::optional<TimePoint> Due = m_ReadDeadline;
  if (m_WriteDeadline && (!Due || *m_WriteDeadline < *Due))
    Due = m_WriteDeadline;
  // A timer that fires too early arms itself again; this spares the common
  // case, where the deadline only moves back, any work.
  if (!Due || (m_TimerDue && *m_TimerDue <= *Due))
    return;
  m_TimerDue = Due;
  m_Timer.expires_at(*Due);
  m_Timer.async_wait([Self = shared_from_this()](error_code Error) {
    if (!Error)
      Self->onTimer();
  });
}

void HttpConnection::onTimer() {
  m_TimerDue.reset();
  if (m_Closed)
    return;
  const TimePoint Now = RuntimeClock::now();
  if (m_WriteDeadline && *m_WriteDeadline <= Now)
    return close();
  if (!m_ReadDeadline || *m_ReadDeadline > Now)
    return armTimer();
  // A connection isn't idle while its last answer is still being taken.
  const bool StillWriting = m_WriteInProgress && !m_Parser->started();
  if (StillWriting && !m_Lingering)
    return setReadDeadline(m_Shared->m_Limits[m_Worker].m_IdleTimeout);
  const bool FirstRequest = !m_AnyRequestDone;
  if (m_Lingering || !(FirstRequest || m_Parser->started()))
    return close();
  refuse({408, "the request did not arrive in time"});
}

} // namespace mangocart
