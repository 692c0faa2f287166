// Carries messages between members: one long-lived stream a direction. What
// can't be sent is dropped; the decisions repeat what matters.
#ifndef MANGOCART_RAFT_RAFTTRANSPORT_H
#define MANGOCART_RAFT_RAFTTRANSPORT_H

#include "Net/PeerStream.h"
#include "Raft/RaftTypes.h"

#include <atomic>
#include <map>

namespace mangocart {

class RaftTransport {
public:
  // Called on the streams' workers.
  using MessageHandler = std::function<void(RaftMessage)>;

  // Adds its method to the server, which must not listen yet.
  RaftTransport(PeerClient &Client, PeerServer &Server,
                std::map<std::string, PeerEndpoint> Endpoints);

  // Both before the first message; an empty handler ends the reception.
  void onMessage(MessageHandler Handler);

  // From one thread.
  void send(const RaftMessage &Message, TimePoint Now);

  std::uint64_t messagesSent() const { return m_Messages; }
  std::uint64_t bytesSent() const { return m_Bytes; }

private:
  // A stream to one machine.
  struct Link {
    std::shared_ptr<PeerStream> m_Stream;
    // Set by the stream's worker once the stream is lost.
    std::shared_ptr<std::atomic<bool>> m_Lost;
    TimePoint m_Opened;
  };
  struct Receiver;

  void open(Link &To, const PeerEndpoint &Endpoint, TimePoint Now);

  PeerClient &m_Client;
  const std::map<std::string, PeerEndpoint> m_Endpoints;
  std::shared_ptr<Receiver> m_Receiver;
  std::map<std::string, Link> m_Links;
  std::atomic<std::uint64_t> m_Messages{0};
  std::atomic<std::uint64_t> m_Bytes{0};
};

} // namespace mangocart

#endif
