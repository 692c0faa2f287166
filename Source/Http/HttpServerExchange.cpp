// The handler's side of a request: checks the order of calls and passes them on
// to the connection.
#include "Http/HttpConnection.h"

#include <boost/asio/post.hpp>

namespace mangocart {

HttpServerExchange::HttpServerExchange(
    std::shared_ptr<HttpConnection> Connection,
    std::shared_ptr<HttpServerShared> Shared, HttpRequest Request)
    : m_Connection(std::move(Connection)), m_Shared(std::move(Shared)),
      m_Request(std::move(Request)) {
  ++m_Shared->m_ExchangeCount;
}

HttpServerExchange::~HttpServerExchange() {
  if (m_Phase == Phase::Complete)
    return;
  --m_Shared->m_ExchangeCount;
  // Handlers that a stopped worker still holds are dropped with it; there is
  // nobody left to answer.
  boost::asio::io_context &Worker = m_Connection->context();
  if (!Worker.stopped())
    boost::asio::post(Worker, [Connection = m_Connection,
                               Unanswered = m_Phase == Phase::Waiting] {
      Connection->onExchangeDropped(Unanswered);
    });
}

void HttpServerExchange::respond(HttpResponse Response) {
  if (!isSendable(Response.m_Head))
    Response = missingResponse();
  if (m_Phase == Phase::Waiting)
    m_Connection->respond(*this, Response);
}

void HttpServerExchange::startStream(HttpHead Head) {
  if (m_Phase != Phase::Waiting)
    return;
  if (!isSendable(Head))
    return respond(missingResponse());
  m_Phase = Phase::Streaming;
  m_Connection->startStream(Head);
}

void HttpServerExchange::writeChunk(std::string Data) {
  if (m_Phase == Phase::Streaming)
    m_Connection->writeChunk(Data);
}

void HttpServerExchange::finishStream() {
  if (m_Phase == Phase::Streaming)
    m_Connection->finishStream(*this);
}

void HttpServerExchange::abort() {
  if (m_Phase != Phase::Complete)
    m_Connection->abort(*this);
}

std::size_t HttpServerExchange::queuedBytes() const {
  return m_Phase == Phase::Complete ? 0 : m_Connection->queuedBytes();
}

void HttpServerExchange::onDrained(std::function<void()> Handler) {
  if (m_Phase != Phase::Complete)
    m_OnDrained = std::move(Handler);
}

void HttpServerExchange::onClosed(std::function<void()> Handler) {
  if (m_Phase != Phase::Complete)
    m_OnClosed = std::move(Handler);
}

void HttpServerExchange::onStopping(std::function<void()> Handler) {
  if (m_Phase != Phase::Complete)
    m_OnStopping = std::move(Handler);
}

void HttpServerExchange::drained() {
  // A copy, since the handler may set another one or complete the exchange.
  const auto Handler = m_OnDrained;
  if (Handler)
    Handler();
}

void HttpServerExchange::stopping() {
  const auto Handler = std::exchange(m_OnStopping, nullptr);
  if (Handler)
    Handler();
}

void HttpServerExchange::closed() {
  const auto Handler = std::move(m_OnClosed);
  complete();
  if (Handler)
    Handler();
}

void HttpServerExchange::complete() {
  if (m_Phase == Phase::Complete)
    return;
  m_Phase = Phase::Complete;
  --m_Shared->m_ExchangeCount;
  // The handlers often hold the exchange itself.
  m_OnDrained = nullptr;
  m_OnClosed = nullptr;
  m_OnStopping = nullptr;
}

} // namespace mangocart
