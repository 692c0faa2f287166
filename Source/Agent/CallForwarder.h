// Forwards one call from an entry to the backend server, and the response back.
// The whole call runs on the worker of its stream.
#ifndef MANGOCART_AGENT_CALLFORWARDER_H
#define MANGOCART_AGENT_CALLFORWARDER_H

#include "Http/HttpClient.h"
#include "Net/PeerStream.h"
#include "Peer.pb.h"
#include "State/AgentGuard.h"

#include <memory>

namespace mangocart {

struct AgentContext;

class CallForwarder : public std::enable_shared_from_this<CallForwarder> {
public:
  // Takes ownership of a newly opened stream.
  static void accept(AgentContext &Context, std::shared_ptr<PeerStream> Stream);

private:
  CallForwarder(AgentContext &Context, std::shared_ptr<PeerStream> Stream);
  void handleRequest(std::string_view Bytes);
  HttpRequest makeBackendRequest() const;
  HttpCallHandlers makeHandlers();
  void handleResponseHead(const HttpHead &Head);
  void handleResponseBody(std::string_view Data);
  void handleResponseEnd();
  void handleBackendError(const HttpError &Error);
  void handleStreamError();
  void sendReply(const schema::CallReply &Reply);
  void sendRefusal(const schema::CallRefusal &Refusal);
  void finishAtGuard(FinishKind Kind);
  bool isIdempotent() const { return m_Request.idempotency_key().empty(); }

  AgentContext &m_Context;
  const std::shared_ptr<PeerStream> m_Stream;
  schema::CallRequest m_Request;
  std::shared_ptr<HttpCall> m_Call;
  // Answer of a non-idempotent call, kept until the claim is settled.
  schema::StoredAnswer m_StoredAnswer;
  std::uint64_t m_ByteCount = 0;
  // Chained hash over the body messages; the entry computes the same value.
  std::uint64_t m_Checksum = 0;
  // True between begin() and finish() of the call guard.
  bool m_IsAdmitted = false;
  bool m_HasStreamFailed = false;
};

} // namespace mangocart

#endif
