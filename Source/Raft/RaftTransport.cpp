// Message streams between members.
#include "Raft/RaftTransport.h"

#include "Raft/RaftCodec.h"
#include "Raft/RaftPeers.h"

#include <mutex>

namespace mangocart {

namespace {

constexpr const char *RaftMethod = "/entry/raft";
// Minimum time between two attempts to open a stream.
constexpr Duration ReopenInterval = std::chrono::milliseconds(100);
// With more queued, the receiver is not reading; further messages would be
// stale when they are sent.
constexpr std::size_t MaxQueuedBytes = std::size_t{8} * 1024 * 1024;

} // namespace

struct RaftTransport::Receiver {
  std::mutex m_Mutex;
  // Guarded by m_Mutex.
  MessageHandler m_Handler;

  void receive(std::string_view Bytes) {
    std::optional<RaftMessage> Message = decodeMessage(Bytes);
    const std::lock_guard Lock(m_Mutex);
    if (Message && m_Handler)
      m_Handler(std::move(*Message));
  }
};

RaftTransport::RaftTransport(PeerClient &Client, PeerServer &Server,
                             std::map<std::string, PeerEndpoint> Endpoints)
    : m_Client(Client), m_Endpoints(std::move(Endpoints)),
      m_Receiver(std::make_shared<Receiver>()) {
  Server.addMethod(RaftMethod, [Receiver = m_Receiver](
                                   const std::shared_ptr<PeerStream> &Stream) {
    PeerStreamHandlers Handlers;
    Handlers.m_OnMessage = [Receiver](std::string_view Bytes) {
      Receiver->receive(Bytes);
    };
    // The session owns the stream; a strong reference here would form a cycle
    // and keep the stream alive.
    Handlers.m_OnEnd = [Weak = std::weak_ptr(Stream)] {
      if (const auto Live = Weak.lock())
        Live->finish();
    };
    Stream->setHandlers(std::move(Handlers));
  });
}

void RaftTransport::onMessage(MessageHandler Handler) {
  const std::lock_guard Lock(m_Receiver->m_Mutex);
  m_Receiver->m_Handler = std::move(Handler);
}

void RaftTransport::open(Connection &To, const PeerEndpoint &Endpoint,
                         TimePoint Now) {
  auto Lost = std::make_shared<std::atomic<bool>>(false);
  PeerStreamHandlers Handlers;
  Handlers.m_OnMessage = [](std::string_view) {};
  Handlers.m_OnEnd = [Lost] { *Lost = true; };
  Handlers.m_OnError = [Lost](const PeerError &) { *Lost = true; };
  To.m_Lost = std::move(Lost);
  To.m_OpenTime = Now;
  To.m_Stream = m_Client.open(Endpoint, RaftMethod, std::move(Handlers));
}

void RaftTransport::send(const RaftMessage &Message, TimePoint Now) {
  const auto Endpoint = findEndpoint(m_Endpoints, Message.m_To.m_Name);
  if (!Endpoint)
    return;
  Connection &To = m_Connections[Message.m_To.m_Name];
  const bool Usable = To.m_Stream && !*To.m_Lost;
  if (!Usable && To.m_Stream && Now - To.m_OpenTime < ReopenInterval)
    return;
  if (!Usable)
    open(To, *Endpoint, Now);
  if (To.m_Stream->queuedBytes() > MaxQueuedBytes)
    return;
  std::string Bytes = encodeMessage(Message);
  ++m_Messages;
  m_Bytes += Bytes.size();
  To.m_Stream->send(std::move(Bytes));
}

} // namespace mangocart
