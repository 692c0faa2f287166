// Sends messages between members over one long-lived stream per direction.
// Messages that cannot be sent are dropped; the Raft algorithm sends again what
// is needed.
#ifndef MANGOCART_RAFT_RAFTTRANSPORT_H
#define MANGOCART_RAFT_RAFTTRANSPORT_H

#include "Net/PeerStream.h"
#include "Raft/RaftTypes.h"

#include <atomic>
#include <map>

namespace mangocart {

class RaftTransport {
public:
  // Called on the workers of the streams.
  using MessageHandler = std::function<void(RaftMessage)>;

  // Registers its method with the server, which must not be listening yet.
  RaftTransport(PeerClient &Client, PeerServer &Server,
                std::map<std::string, PeerEndpoint> Endpoints);

  // Called before the first message arrives; an empty handler stops the
  // delivery of messages.
  void onMessage(MessageHandler Handler);

  // Called from one thread only.
  void send(const RaftMessage &Message, TimePoint Now);

  std::uint64_t messagesSent() const { return m_Messages; }
  std::uint64_t bytesSent() const { return m_Bytes; }

private:
  // A stream to one node.
  struct Connection {
    std::shared_ptr<PeerStream> m_Stream;
    // Set by the stream's worker when the stream has ended or failed.
    std::shared_ptr<std::atomic<bool>> m_Lost;
    TimePoint m_OpenTime;
  };
  struct Receiver;

  void open(Connection &To, const PeerEndpoint &Endpoint, TimePoint Now);

  PeerClient &m_Client;
  const std::map<std::string, PeerEndpoint> m_Endpoints;
  std::shared_ptr<Receiver> m_Receiver;
  std::map<std::string, Connection> m_Connections;
  std::atomic<std::uint64_t> m_Messages{0};
  std::atomic<std::uint64_t> m_Bytes{0};
};

} // namespace mangocart

#endif
