// Carries one call from an entry to the backend server and its answer back. The
// whole call stays on the worker of its stream.
#ifndef MANGOCART_AGENT_CALLCARRIER_H
#define MANGOCART_AGENT_CALLCARRIER_H

#include "Http/HttpClient.h"
#include "Net/PeerStream.h"
#include "Peer.pb.h"
#include "State/AgentGuard.h"

#include <memory>

namespace mangocart {

struct AgentContext;

class CallCarrier : public std::enable_shared_from_this<CallCarrier> {
public:
  // Takes over a stream that has just been opened.
  static void accept(AgentContext &Context, std::shared_ptr<PeerStream> Stream);

private:
  CallCarrier(AgentContext &Context, std::shared_ptr<PeerStream> Stream);
  void takeRequest(std::string_view Bytes);
  HttpRequest backendRequest() const;
  HttpCallHandlers handlers();
  void takeHead(const HttpHead &Head);
  void takeBody(std::string_view Data);
  void takeEnd();
  void takeError(const HttpError &Error);
  void streamLost();
  void reply(const schema::CallReply &Reply);
  void refuse(const schema::CallRefusal &Refusal);
  void finishGuard(FinishKind Kind);
  bool idempotent() const { return m_Request.idempotency_key().empty(); }

  AgentContext &m_Context;
  const std::shared_ptr<PeerStream> m_Stream;
  schema::CallRequest m_Request;
  std::shared_ptr<HttpCall> m_Call;
  // The answer of a non-idempotent call, kept for the settler.
  schema::StoredAnswer m_Stored;
  std::uint64_t m_ByteCount = 0;
  // Hash of each body message, chained; the entry computes the same.
  std::uint64_t m_Checksum = 0;
  // Set between begin and finish at the guard.
  bool m_Begun = false;
  bool m_StreamLost = false;
};

} // namespace mangocart

#endif
