// Accepts connections and gives them to the workers in turn.
#include "Http/HttpServer.h"

#include "Core/WorkerPool.h"
#include "Http/HttpConnection.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <mutex>

namespace mangocart {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Connections above the limit that are told so; further ones are just closed.
constexpr std::size_t MaxRefusedConnections = 64;
// Wait before accepting again when the process has no descriptor left.
constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  explicit State(WorkerPool &Pool)
      : m_Workers(Pool), m_Acceptor(Pool.worker(0)),
        m_RetryTimer(Pool.worker(0)),
        m_Shared(std::make_shared<HttpServerShared>()) {}

  Result<void, HttpError> open(const std::string &Address, std::uint16_t Port);
  void accept();
  void onAccepted(tcp::socket Socket, std::size_t Worker);

  WorkerPool &m_Workers;
  // The acceptor and the timer are used on worker 0 once listen() is done.
  tcp::acceptor m_Acceptor;
  Timer m_RetryTimer;
  std::size_t m_Turn = 0;
  std::atomic<std::uint16_t> m_Port{0};
  std::shared_ptr<HttpServerShared> m_Shared;
};

Result<void, HttpError> HttpServer::State::open(const std::string &Address,
                                                std::uint16_t Port) {
  error_code Error;
  const auto Fail = [&](std::string_view Step) {
    error_code Ignored;
    m_Acceptor.close(Ignored);
    return HttpError{HttpErrorCode::ListenFailed,
                     "cannot listen on " + Address + " port " +
                         std::to_string(Port) + ": " + std::string(Step) +
                         Error.message(),
                     true};
  };
  const auto Ip = asio::ip::make_address(Address, Error);
  if (Error)
    return Fail("expected an IP number: ");
  const tcp::endpoint Endpoint(Ip, Port);
  m_Acceptor.open(Endpoint.protocol(), Error);
  if (Error)
    return Fail("");
  m_Acceptor.set_option(tcp::acceptor::reuse_address(true), Error);
  m_Acceptor.bind(Endpoint, Error);
  if (Error)
    return Fail("");
  m_Acceptor.listen(tcp::acceptor::max_listen_connections, Error);
  if (Error)
    return Fail("");
  m_Port = m_Acceptor.local_endpoint(Error).port();
  m_Shared->m_OpenParts = 1 + m_Workers.size();
  return success();
}

void HttpServer::State::accept() {
  if (m_Shared->m_Closing || !m_Acceptor.is_open())
    return;
  const std::size_t Worker = m_Turn++ % m_Workers.size();
  m_Acceptor.async_accept(
      m_Workers.worker(Worker), [Self = shared_from_this(),
                                 Worker](error_code Error, tcp::socket Socket) {
        if (Error == asio::error::operation_aborted)
          return;
        if (!Error) {
          Self->onAccepted(std::move(Socket), Worker);
          return Self->accept();
        }
        Self->m_RetryTimer.expires_after(AcceptRetryDelay);
        Self->m_RetryTimer.async_wait([Self](error_code Stopped) {
          if (!Stopped)
            Self->accept();
        });
      });
}

void HttpServer::State::onAccepted(tcp::socket Socket, std::size_t Worker) {
  const std::size_t Limit = m_Shared->m_MaxConnections;
  const std::size_t Count = ++m_Shared->m_ConnectionCount;
  if (Count > Limit + MaxRefusedConnections) {
    --m_Shared->m_ConnectionCount;
    return;
  }
  asio::post(m_Workers.worker(Worker),
             [Shared = m_Shared, Worker, Refused = Count > Limit,
              &Context = m_Workers.worker(Worker),
              Accepted = std::move(Socket)]() mutable {
               const auto Connection = std::make_shared<HttpConnection>(
                   Context, std::move(Accepted), Shared, Worker);
               if (Refused)
                 Connection->startRefused({503, "too many connections"});
               else
                 Connection->start();
             });
}

HttpServer::HttpServer(WorkerPool &Workers, HttpLimits Limits,
                       Handler OnRequest)
    : m_State(std::make_shared<State>(Workers)) {
  m_State->m_Shared->m_MaxConnections = Limits.m_MaxConnections;
  m_State->m_Shared->m_Limits.assign(Workers.size(), Limits);
  m_State->m_Shared->m_OnRequest = std::move(OnRequest);
  m_State->m_Shared->m_Open.resize(Workers.size());
}

HttpServer::~HttpServer() { closeListener(); }

Result<void, HttpError> HttpServer::listen(const std::string &Address,
                                           std::uint16_t Port) {
  BOOST_OUTCOME_TRY(m_State->open(Address, Port));
  asio::post(m_State->m_Workers.worker(0),
             [Kept = m_State] { Kept->accept(); });
  return success();
}

void HttpServer::setLimits(const HttpLimits &Limits) {
  for (std::size_t I = 0; I < m_State->m_Workers.size(); ++I)
    asio::post(m_State->m_Workers.worker(I),
               [Shared = m_State->m_Shared, I, Limits] {
                 Shared->m_Limits[I] = Limits;
               });
}

void HttpServer::closeListener() {
  if (m_State->m_Shared->m_Closing.exchange(true))
    return;
  asio::post(m_State->m_Workers.worker(0), [Kept = m_State] {
    error_code Ignored;
    Kept->m_Acceptor.close(Ignored);
    Kept->m_RetryTimer.cancel();
    // A connection that was accepted before is counted by then.
    asio::post(Kept->m_Workers.worker(0),
               [Kept] { --Kept->m_Shared->m_OpenParts; });
  });
  for (std::size_t I = 0; I < m_State->m_Workers.size(); ++I)
    asio::post(m_State->m_Workers.worker(I),
               [Shared = m_State->m_Shared, I,
                &Context = m_State->m_Workers.worker(I)] {
                 const auto Open = Shared->m_Open[I];
                 for (HttpConnection *Connection : Open)
                   Connection->closeWhenIdle();
                 asio::post(Context, [Shared] { --Shared->m_OpenParts; });
               });
}

void HttpServer::endExchanges() {
  for (std::size_t I = 0; I < m_State->m_Workers.size(); ++I)
    asio::post(m_State->m_Workers.worker(I), [Shared = m_State->m_Shared, I] {
      // A copy, since a connection may close meanwhile.
      const auto Open = Shared->m_Open[I];
      for (HttpConnection *Connection : Open)
        if (Shared->m_Open[I].contains(Connection))
          Connection->endExchange();
    });
}

std::uint16_t HttpServer::port() const { return m_State->m_Port; }

std::size_t HttpServer::connectionCount() const {
  return m_State->m_Shared->m_ConnectionCount;
}

std::size_t HttpServer::exchangeCount() const {
  return m_State->m_Shared->m_ExchangeCount;
}

std::size_t HttpServer::pendingCount() const {
  const HttpServerShared &Shared = *m_State->m_Shared;
  // In this order: a part that has closed has counted its connections before.
  const std::size_t OpenParts = Shared.m_OpenParts;
  const std::size_t Lingering = Shared.m_LingeringCount;
  const std::size_t Connections = Shared.m_ConnectionCount;
  return OpenParts + Connections - std::min(Connections, Lingering);
}

} // namespace mangocart
