#include "Entry/CallAttempt.h"

#include "Core/Hash.h"
#include "Core/PostTask.h"
#include "Entry/CallRequests.h"

#include <boost/asio/dispatch.hpp>

namespace mangocart {

namespace {
constexpr const char *CallMethod = "/agent/call";
} // namespace

CallAttempt::CallAttempt(boost::asio::any_io_executor Executor,
                         CallHandlers Handlers)
    : m_Executor(std::move(Executor)), m_Handlers(std::move(Handlers)) {}

std::shared_ptr<CallAttempt>
CallAttempt::start(PeerClient &Peers, const PeerEndpoint &Agent,
                   const schema::CallRequest &Request,
                   boost::asio::any_io_executor Executor,
                   CallHandlers Handlers) {
  std::shared_ptr<CallAttempt> Self(
      new CallAttempt(std::move(Executor), std::move(Handlers)));
  PeerStreamHandlers Events;
  Events.m_OnMessage = [Self](std::string_view Bytes) {
    schema::CallReply Reply;
    if (Reply.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
      Self->push(std::move(Reply));
    else
      Self->push(PeerError{PeerErrorCode::Malformed, "malformed reply", false});
  };
  Events.m_OnEnd = [Self] {
    Self->push(PeerError{PeerErrorCode::Malformed,
                         "the answer ended without its end message", false});
  };
  Events.m_OnError = [Self](PeerError Error) { Self->push(std::move(Error)); };
  Self->m_Stream = Peers.open(Agent, CallMethod, std::move(Events));
  Self->m_Stream->send(Request.SerializeAsString());
  Self->m_Stream->finish();
  return Self;
}

void CallAttempt::cancel() {
  if (m_Finished)
    return;
  m_Finished = true;
  m_Stream->reset();
  // Deferred, because cancel() may be called from one of the handlers.
  postTask(m_Executor, [Self = shared_from_this()] { Self->m_Handlers = {}; });
}

void CallAttempt::push(Item Next) {
  {
    const std::lock_guard Lock(m_Mutex);
    m_Waiting.push_back(std::move(Next));
    if (m_DrainPosted)
      return;
    m_DrainPosted = true;
  }
  boost::asio::dispatch(m_Executor,
                        [Self = shared_from_this()] { Self->drain(); });
}

void CallAttempt::drain() {
  std::vector<Item> Batch;
  {
    const std::lock_guard Lock(m_Mutex);
    Batch.swap(m_Waiting);
    m_DrainPosted = false;
  }
  for (Item &Next : Batch)
    if (!m_Finished)
      handle(std::move(Next));
}

void CallAttempt::handle(Item Next) {
  if (auto *Reply = std::get_if<schema::CallReply>(&Next))
    return handleReply(std::move(*Reply));
  const PeerError &Error = std::get<PeerError>(Next);
  fail(Error.m_Detail, Error.m_NothingSent);
}

void CallAttempt::handleReply(schema::CallReply Reply) {
  switch (Reply.kind_case()) {
  case schema::CallReply::kHead:
    if (std::exchange(m_HeadSeen, true))
      return fail("a second head", false);
    if (!isSendable(toHttpHead(Reply.head(), {})))
      return fail("an invalid status or header", false);
    return m_Handlers.m_OnHead(std::move(*Reply.mutable_head()));
  case schema::CallReply::kBody:
    if (!m_HeadSeen)
      return fail("a body without a head", false);
    m_ByteCount += Reply.body().size();
    if (m_ByteCount > m_Handlers.m_MaxBodyBytes)
      return fail("the answer is too large", false);
    m_Checksum = hash64(Reply.body(), m_Checksum);
    return m_Handlers.m_OnBody(std::move(*Reply.mutable_body()));
  case schema::CallReply::kEnd:
    return handleEnd(Reply.end());
  case schema::CallReply::kRefusal: {
    m_Finished = true;
    const auto Handler = std::move(m_Handlers.m_OnRefusal);
    m_Handlers = {};
    return Handler(std::move(*Reply.mutable_refusal()));
  }
  case schema::CallReply::KIND_NOT_SET:
    return fail("reply of an unknown kind", false);
  }
}

void CallAttempt::handleEnd(const schema::CallEnd &End) {
  if (!m_HeadSeen || End.byte_count() != m_ByteCount ||
      End.checksum() != m_Checksum)
    return fail("the end message does not match the answer", false);
  m_Finished = true;
  const auto Handler = std::move(m_Handlers.m_OnEnd);
  m_Handlers = {};
  Handler();
}

void CallAttempt::fail(std::string Detail, bool NothingSent) {
  m_Finished = true;
  m_Stream->reset();
  const auto Handler = std::move(m_Handlers.m_OnBroken);
  m_Handlers = {};
  Handler({std::move(Detail), NothingSent});
}

} // namespace mangocart
