// Connecting, writing a request at once and reading its answer. A read is
// always outstanding unless paused, so that a kept connection that the server
// closes is noticed.
#include "Http/HttpClientConnection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

#include <netinet/tcp.h>

namespace mangocart {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Interim responses and answers to other requests are skipped up to this size.
constexpr std::size_t MaxSkippedBytes = std::size_t{1024} * 1024;

bool wouldBlock(const error_code &Error) {
  return Error == asio::error::would_block || Error == asio::error::try_again;
}

} // namespace

HttpClientConnection::HttpClientConnection(
    asio::io_context &Worker, HttpTarget Target,
    const HttpClientOptions &Options,
    std::weak_ptr<HttpConnectionKeeper> Keeper, bool Named)
    : m_Socket(Worker), m_Target(std::move(Target)), m_Options(Options),
      m_Keeper(std::move(Keeper)), m_Named(Named), m_Timer(Worker) {}

void HttpClientConnection::connectFor(std::shared_ptr<HttpClientCall> Call) {
  m_Call = std::move(Call);
  m_Call->attach(shared_from_this());
  error_code Error;
  const auto Ip = asio::ip::make_address(m_Target.m_Address, Error);
  if (Error) {
    // Never from inside send(): the caller doesn't hold the call yet.
    asio::post(m_Socket.get_executor(), [Self = shared_from_this()] {
      Self->fail(HttpErrorCode::ConnectFailed, "expected an IP number, got '" +
                                                   Self->m_Target.m_Address +
                                                   "'");
    });
    return;
  }
  m_Timer.expires_after(m_Options.m_ConnectTimeout);
  m_Timer.async_wait([Self = shared_from_this()](error_code Stopped) {
    if (!Stopped && !Self->m_Closed && !Self->m_Parser)
      Self->fail(HttpErrorCode::ConnectFailed, "no connection in time");
  });
  m_Socket.async_connect(
      tcp::endpoint(Ip, m_Target.m_Port),
      [Self = shared_from_this()](error_code Failed) {
        if (Self->m_Closed)
          return;
        Self->m_Timer.cancel();
        if (Failed)
          return Self->fail(HttpErrorCode::ConnectFailed, Failed.message());
        error_code Ignored;
        Self->m_Socket.set_option(tcp::no_delay(true), Ignored);
        const int Unacknowledged =
            static_cast<int>(Self->m_Options.m_UnacknowledgedTimeout.count());
        setsockopt(Self->m_Socket.native_handle(), IPPROTO_TCP,
                   TCP_USER_TIMEOUT, &Unacknowledged, sizeof(Unacknowledged));
        Self->m_Socket.non_blocking(true, Ignored);
        if (Self->writeFirst() == FirstWrite::NothingTaken)
          return Self->fail(HttpErrorCode::ConnectionLost,
                            "the connection closed before the request");
        Self->read();
      });
}

bool HttpClientConnection::reuseFor(
    const std::shared_ptr<HttpClientCall> &Call) {
  if (m_Closed || !isOpenAtPeer())
    return false;
  m_Call = Call;
  m_Timer.cancel();
  if (writeFirst() == FirstWrite::NothingTaken) {
    m_Call.reset();
    return false;
  }
  Call->attach(shared_from_this());
  return true;
}

bool HttpClientConnection::isOpenAtPeer() {
  char Byte = 0;
  error_code Error;
  m_Socket.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Error);
  // Bytes that nobody asked for make the connection useless as well.
  return wouldBlock(Error);
}

HttpClientConnection::FirstWrite HttpClientConnection::writeFirst() {
  const std::array<asio::const_buffer, 2> Request{
      asio::buffer(m_Call->headText()), asio::buffer(m_Call->body())};
  error_code Error;
  m_Written = m_Socket.write_some(Request, Error);
  if (Error && !wouldBlock(Error))
    return FirstWrite::NothingTaken;
  if (m_Written > 0)
    m_Call->markSent();
  ++m_Calls;
  m_Parser.emplace(*m_Call, m_Call->isHead(), m_Options.m_TakesEndByClosing);
  m_Paused = false;
  m_HeldBytes = 0;
  m_SkippedBytes = 0;
  if (m_Written < asio::buffer_size(Request))
    writeRest();
  return FirstWrite::Taken;
}

void HttpClientConnection::writeRest() {
  const std::string &Head = m_Call->headText();
  const std::string &Body = m_Call->body();
  const std::size_t HeadDone = std::min(m_Written, Head.size());
  const std::size_t BodyDone = m_Written - HeadDone;
  const std::array<asio::const_buffer, 2> Rest{
      asio::buffer(Head.data() + HeadDone, Head.size() - HeadDone),
      asio::buffer(Body.data() + BodyDone, Body.size() - BodyDone)};
  // The call is held, since its texts are being written.
  m_Socket.async_write_some(Rest, [Self = shared_from_this(), Call = m_Call](
                                      error_code Error, std::size_t Bytes) {
    // An answer may come, or a failure be seen, before the request is out.
    if (Self->m_Closed || Self->m_Call != Call)
      return;
    if (Error)
      return Self->onWriteFailed(Error);
    Self->m_Written += Bytes;
    if (Bytes > 0)
      Call->markSent();
    if (!Self->isRequestWritten())
      return Self->writeRest();
    if (Self->m_IsEndRead)
      Self->finishCall(false);
  });
}

bool HttpClientConnection::isRequestWritten() const {
  return m_Written == m_Call->headText().size() + m_Call->body().size();
}

// An answer that tells its end may have arrived whole, so reading goes on.
void HttpClientConnection::onWriteFailed(const error_code &Error) {
  m_WriteError = Error;
  if (m_IsEndRead)
    failLost(Error);
}

void HttpClientConnection::read() {
  if (m_Reading || m_Closed || m_Paused || m_HeldBytes > 0 || m_IsEndRead)
    return;
  m_Reading = true;
  m_Socket.async_read_some(
      asio::buffer(m_ReadArea),
      [Self = shared_from_this()](error_code Error, std::size_t Bytes) {
        Self->m_Reading = false;
        if (Self->m_Closed)
          return;
        if (Error)
          return Self->onEnd(Error);
        Self->onRead(Bytes);
      });
}

void HttpClientConnection::onRead(std::size_t Bytes) {
  if (!m_Call)
    return fail(HttpErrorCode::Malformed, "bytes without a request");
  if (m_Paused) {
    m_HeldBytes = Bytes;
    return;
  }
  feed({m_ReadArea.data(), Bytes});
  read();
}

void HttpClientConnection::onEnd(const error_code &Error) {
  if (Error == asio::error::eof && m_Call && m_Parser &&
      !m_Parser->isForeign() && !m_WriteError && m_Parser->endOfConnection()) {
    if (isRequestWritten())
      return finishCall(false);
    // A socket reports a reset once. If the write in progress has taken that
    // report, reading sees an end like that of a server that closes in good
    // order.
    m_IsEndRead = true;
    return;
  }
  failLost(m_WriteError.value_or(Error));
}

Duration HttpClientConnection::keepTime() const {
  const auto Seconds = m_Parser->keepAliveSeconds();
  if (!Seconds)
    return m_Options.m_MaxIdle;
  const auto Allowed = std::chrono::duration_cast<Duration>(
      std::chrono::seconds(*Seconds) * m_Options.m_KeepAlivePart);
  return std::min(m_Options.m_MaxIdle, Allowed);
}

void HttpClientConnection::resumeReading() {
  if (!m_Paused)
    return;
  m_Paused = false;
  // Not from inside the caller's function, which a handler may have called.
  asio::post(m_Socket.get_executor(), [Self = shared_from_this()] {
    if (Self->m_Closed || Self->m_Paused)
      return;
    const std::size_t Held = std::exchange(Self->m_HeldBytes, 0);
    if (Held > 0)
      Self->feed({Self->m_ReadArea.data(), Held});
    Self->read();
  });
}

void HttpClientConnection::feed(std::string_view Bytes) {
  using Progress = HttpResponseParser::Progress;
  // Handlers may cancel the call, which closes the connection.
  const auto Self = shared_from_this();
  const auto Call = m_Call;
  std::string Joined;
  if (!m_Pending.empty()) {
    Joined = std::exchange(m_Pending, {}).append(Bytes);
    Bytes = Joined;
  }
  while (!Bytes.empty() && m_Call == Call && !m_Closed) {
    const std::size_t Before = Bytes.size();
    const Progress Step = m_Parser->take(Bytes);
    if (Step == Progress::Stopped || m_Closed)
      return;
    if (Step == Progress::Malformed)
      return fail(HttpErrorCode::Malformed, m_Parser->detail());
    if (m_Parser->isInterim() || m_Parser->isForeign())
      m_SkippedBytes += Before - Bytes.size();
    if (m_SkippedBytes > MaxSkippedBytes)
      return fail(HttpErrorCode::Malformed,
                  "too many bytes that belong to no answer of the request");
    if (Step == Progress::NeedMore) {
      m_Pending.assign(Bytes);
      return;
    }
    if (!m_Parser->isInterim() && !m_Parser->isForeign())
      return finishCall(m_Parser->keepAlive() && Bytes.empty() && !m_Tainted);
    m_Tainted = m_Tainted || m_Parser->isForeign();
    m_Parser.emplace(*m_Call, m_Call->isHead(), m_Options.m_TakesEndByClosing);
  }
}

void HttpClientConnection::finishCall(bool Keep) {
  // A server that answers early may not read the rest of the request.
  const bool RequestWhole = isRequestWritten();
  const auto Call = std::exchange(m_Call, nullptr);
  const auto Keeper = m_Keeper.lock();
  m_Paused = false;
  m_KeptFor = keepTime();
  const bool IsReusable =
      m_Named ? Call->isAnswerNamed() : m_Options.m_KeepsUnnamed;
  if (Keep && IsReusable && RequestWhole && Keeper &&
      m_KeptFor > Duration::zero()) {
    read();
    m_KeptSince = RuntimeClock::now();
    m_Timer.expires_after(m_KeptFor);
    m_Timer.async_wait([Weak = weak_from_this()](error_code Stopped) {
      const auto Self = Weak.lock();
      if (Stopped || !Self || Self->m_Call)
        return;
      if (const auto Live = Self->m_Keeper.lock())
        Live->forget(*Self);
      Self->close();
    });
    Keeper->keep(shared_from_this());
  } else {
    close();
  }
  Call->end();
}

void HttpClientConnection::failLost(const error_code &Error) {
  fail(HttpErrorCode::ConnectionLost,
       "the server closed the connection before the answer was whole: " +
           Error.message());
}

void HttpClientConnection::fail(HttpErrorCode Code, std::string Detail) {
  const auto Call = std::exchange(m_Call, nullptr);
  close();
  if (Call)
    Call->fail({Code, std::move(Detail), !Call->anySent()});
  else if (const auto Keeper = m_Keeper.lock())
    Keeper->forget(*this);
}

void HttpClientConnection::close() {
  if (m_Closed)
    return;
  m_Closed = true;
  m_Timer.cancel();
  m_Call.reset();
  error_code Ignored;
  m_Socket.close(Ignored);
}

} // namespace mangocart
