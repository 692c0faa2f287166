// Operator orders at an entry: the endpoint of the administration API, and the
// method with which agents query the fencing number in force.
#ifndef MANGOCART_ENTRY_ORDERAPI_H
#define MANGOCART_ENTRY_ORDERAPI_H

#include <memory>

namespace mangocart {

class HttpExchange;
class PeerServer;
class ReplicatedLog;
struct EntryContext;

// Handles POST /v1/order.
void handleOrder(EntryContext &Context,
                 const std::shared_ptr<HttpExchange> &Exchange);

// Adds the method /entry/fence. It is answered through a commit, so that every
// answer is confirmed by a majority. Must be called before the server listens.
void addFenceMethod(PeerServer &Server, ReplicatedLog &Log);

} // namespace mangocart

#endif
