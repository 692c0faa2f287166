// A call: its request's text, its deadline and the caller's handlers.
#include "Http/HttpClientConnection.h"
#include "Http/HttpWire.h"

#include <fmt/format.h>

namespace mangocart {

namespace {

// Keeps the due time within the clock's range.
constexpr Duration MaxDeadline = std::chrono::hours(24);

std::string hostText(const HttpTarget &Target) {
  return Target.m_Address + ":" + std::to_string(Target.m_Port);
}

} // namespace

HttpClientCall::HttpClientCall(boost::asio::io_context &Worker,
                               const HttpTarget &Target, HttpRequest Request,
                               HttpCallHandlers Handlers)
    : m_Handlers(std::move(Handlers)), m_Deadline(Worker),
      m_IsHead(Request.m_Method == "HEAD") {
  appendRequestHead(m_HeadText, Request, hostText(Target));
  m_Body = std::move(Request.m_Body);
}

void HttpClientCall::startDeadline(Duration Deadline) {
  m_Deadline.expires_after(std::min(Deadline, MaxDeadline));
  m_Deadline.async_wait([Self = weak_from_this()](boost::system::error_code E) {
    const auto Call = Self.lock();
    if (E || !Call)
      return;
    Call->fail({HttpErrorCode::TimedOut, "no whole answer within the deadline",
                !Call->anySent()});
  });
}

void HttpClientCall::finish() {
  m_Finished = true;
  m_Deadline.cancel();
  m_Handlers = {};
  m_Connection.reset();
}

void HttpClientCall::cancel() {
  if (m_Finished)
    return;
  const auto Self = shared_from_this();
  const auto Connection = m_Connection;
  finish();
  if (Connection)
    Connection->close();
}

void HttpClientCall::pauseReading() {
  if (m_Connection)
    m_Connection->pauseReading();
}

void HttpClientCall::resumeReading() {
  if (m_Connection)
    m_Connection->resumeReading();
}

AnswerOwner HttpClientCall::ownerOf(const HttpHead &Head) {
  if (!m_Handlers.m_OwnerOf)
    return AnswerOwner::ThisCall;
  const AnswerOwner Owner = m_Handlers.m_OwnerOf(Head);
  m_IsAnswerNamed = Owner == AnswerOwner::ThisCall;
  if (Owner == AnswerOwner::Unknown && m_Connection &&
      !m_Connection->isReused())
    return AnswerOwner::ThisCall;
  return Owner;
}

bool HttpClientCall::takeHead(HttpHead Head) {
  if (m_Finished)
    return false;
  // Moved out for the call, because the handler may cancel and so clear it.
  const auto Handler = std::move(m_Handlers.m_OnHead);
  if (Handler)
    Handler(std::move(Head));
  return !m_Finished;
}

bool HttpClientCall::takeBody(std::string_view Piece) {
  if (m_Finished)
    return false;
  m_BodyBytes += Piece.size();
  if (m_BodyBytes > m_Handlers.m_MaxBodyBytes) {
    fail({HttpErrorCode::TooLarge,
          fmt::format("the body of the answer is larger than {} bytes",
                      m_Handlers.m_MaxBodyBytes),
          false});
    return false;
  }
  auto Handler = std::move(m_Handlers.m_OnBody);
  if (Handler)
    Handler(Piece);
  if (!m_Finished)
    m_Handlers.m_OnBody = std::move(Handler);
  return !m_Finished;
}

void HttpClientCall::end() {
  if (m_Finished)
    return;
  const auto Handler = std::move(m_Handlers.m_OnEnd);
  finish();
  if (Handler)
    Handler();
}

void HttpClientCall::fail(HttpError Error) {
  if (m_Finished)
    return;
  const auto Self = shared_from_this();
  const auto Handler = std::move(m_Handlers.m_OnError);
  const auto Connection = m_Connection;
  finish();
  if (Connection)
    Connection->close();
  if (Handler)
    Handler(std::move(Error));
}

} // namespace mangocart
