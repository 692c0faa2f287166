// Outbox, framing and life of one stream.
#include "Net/SessionStream.h"

#include "Net/PeerSession.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <cstring>

namespace mangocart {

SessionStream::SessionStream(boost::asio::any_io_executor Executor)
    : m_Executor(std::move(Executor)) {}

void SessionStream::setHandlers(PeerStreamHandlers Handlers) {
  m_Handlers = std::move(Handlers);
}

void SessionStream::send(std::string Message) {
  std::unique_lock Lock(m_Mutex);
  appendFrame(m_Outbox.m_Frames, Message);
  m_QueuedBytes += FrameLengthBytes + Message.size();
  post(std::move(Lock));
}

void SessionStream::finish() {
  std::unique_lock Lock(m_Mutex);
  m_Outbox.m_Finish = true;
  post(std::move(Lock));
}

void SessionStream::reset() {
  std::unique_lock Lock(m_Mutex);
  m_Outbox.m_Reset = true;
  post(std::move(Lock));
}

std::size_t SessionStream::queuedBytes() const { return m_QueuedBytes; }

void SessionStream::onDrained(std::function<void()> Handler) {
  m_OnDrained = std::move(Handler);
}

void SessionStream::pauseReading() { m_ReadingPaused = true; }

void SessionStream::resumeReading() {
  std::unique_lock Lock(m_Mutex);
  m_ReadingPaused = false;
  m_Outbox.m_Resume = true;
  post(std::move(Lock));
}

void SessionStream::post(std::unique_lock<std::mutex> Lock) {
  if (m_Outbox.m_Posted)
    return;
  m_Outbox.m_Posted = true;
  Lock.unlock();
  boost::asio::post(m_Executor,
                    [Self = shared_from_this()] { Self->drainOutbox(); });
}

void SessionStream::drainOutbox() {
  // A stream without a connection keeps its outbox until attach() or fail().
  if (!m_Session || m_Over)
    return;
  Outbox Taken;
  {
    const std::lock_guard Lock(m_Mutex);
    std::swap(Taken, m_Outbox);
  }
  if (Taken.m_Reset) {
    const std::shared_ptr<PeerSession> Session = m_Session;
    m_Over = true;
    Session->submitReset(*this);
    return;
  }
  if (Taken.m_Resume && m_UnconsumedBytes > 0)
    m_Session->consumeStream(*this, std::exchange(m_UnconsumedBytes, 0));
  if (Taken.m_Frames.empty() && !Taken.m_Finish)
    return;
  m_SendBuffer.append(Taken.m_Frames);
  m_LocalEnded = m_LocalEnded || Taken.m_Finish;
  if (!m_ResponseSubmitted)
    m_Session->submitResponse(*this);
  else
    m_Session->resumeData(*this);
}

void SessionStream::attach(std::shared_ptr<PeerSession> Session) {
  m_Session = std::move(Session);
  drainOutbox();
}

std::size_t SessionStream::takeData(char *Buffer, std::size_t Capacity,
                                    bool &Ended) {
  const std::size_t Waiting = m_SendBuffer.size() - m_SendOffset;
  const std::size_t Taken = std::min(Waiting, Capacity);
  std::memcpy(Buffer, m_SendBuffer.data() + m_SendOffset, Taken);
  m_SendOffset += Taken;
  if (m_SendOffset == m_SendBuffer.size()) {
    m_SendBuffer.clear();
    m_SendOffset = 0;
  }
  Ended = m_LocalEnded && m_SendBuffer.empty();
  if (Taken > 0 && (m_QueuedBytes -= Taken) == 0 && m_OnDrained)
    boost::asio::post(m_Executor, [Self = shared_from_this()] {
      if (!Self->m_Over && Self->m_OnDrained && Self->queuedBytes() == 0)
        Self->m_OnDrained();
    });
  return Taken;
}

bool SessionStream::receive(std::string_view Bytes) {
  if (m_Over)
    return true;
  const bool Valid = m_Framer.feed(Bytes, [this](std::string_view Message) {
    if (!m_Over && m_Handlers.m_OnMessage)
      m_Handlers.m_OnMessage(Message);
  });
  if (!Valid || m_Over || !m_Session)
    return Valid;
  m_UnconsumedBytes += Bytes.size();
  if (!m_ReadingPaused)
    m_Session->consumeStream(*this, std::exchange(m_UnconsumedBytes, 0));
  return true;
}

void SessionStream::remoteEnded() {
  if (m_Over || m_RemoteEnded)
    return;
  m_RemoteEnded = true;
  if (m_UnknownMethod) {
    fail({PeerErrorCode::UnknownMethod, "the other side has no such method",
          true});
    return;
  }
  if (!m_Framer.atBoundary()) {
    fail(
        {PeerErrorCode::Malformed, "the stream ended inside a message", false});
    return;
  }
  if (m_Handlers.m_OnEnd)
    m_Handlers.m_OnEnd();
}

void SessionStream::fail(PeerError Error) {
  if (m_Over)
    return;
  m_Over = true;
  const auto Handler = std::move(m_Handlers.m_OnError);
  if (Handler)
    Handler(std::move(Error));
  dropReferences();
}

void SessionStream::closed(bool Cleanly) {
  if (!Cleanly || !m_RemoteEnded)
    fail({PeerErrorCode::StreamReset, "the other side reset the stream",
          !m_HeadersSent});
  m_Over = true;
  dropReferences();
}

void SessionStream::dropReferences() {
  // Posted: the handler that is running now may belong to m_Handlers.
  boost::asio::post(m_Executor, [Self = shared_from_this()] {
    Self->m_Handlers = {};
    Self->m_OnDrained = nullptr;
    Self->m_Session.reset();
  });
}

} // namespace mangocart
