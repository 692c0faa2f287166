// Orders at an entry: the page of the administration API, and the agents'
// question for the number in force.
#ifndef MANGOCART_ENTRY_ORDERAPI_H
#define MANGOCART_ENTRY_ORDERAPI_H

#include <memory>

namespace mangocart {

class HttpExchange;
class PeerServer;
class ReplicatedLog;
struct EntryContext;

// POST /v1/order.
void answerOrder(EntryContext &Context,
                 const std::shared_ptr<HttpExchange> &Exchange);

// /entry/fence: answered through a commit, so that a majority stands behind
// every answer. Before the server listens.
void addFenceMethod(PeerServer &Server, ReplicatedLog &Log);

} // namespace mangocart

#endif
