// Requests and answers of the administration API for orders to backend servers.
// docs/commands/order.md states the shapes.
#ifndef MANGOCART_PLANNING_ORDERMESSAGES_H
#define MANGOCART_PLANNING_ORDERMESSAGES_H

#include "Core/Result.h"
#include "Core/RuntimeClock.h"
#include "Http/HttpMessage.h"
#include "Peer.pb.h"

#include <string>
#include <string_view>
#include <vector>

namespace mangocart {

// Kinds of orders as operators write them, "switch-expert-map".
std::vector<std::string> orderKindNames();
std::string orderKindName(schema::Order::Kind Kind);
// KIND_UNSPECIFIED when there is none of that name.
schema::Order::Kind orderKind(std::string_view Name);

struct OrderRequest {
  // Without a fencing number.
  schema::Order m_Order;
  // How long the entry goes on trying.
  Duration m_Longest{0};
};

// POST /v1/order with {"backend_server":NAME,"kind":KIND,"order_id":ID,
// "payload":TEXT,"timeout_ms":N}. The error is the answer to send.
Result<OrderRequest, HttpResponse> parseOrder(std::string_view Body);

// How an order ended at the entry that sent it.
struct OrderEnd {
  schema::OrderAnswer m_Answer;
  // The number that it was sent under; 0 when none was drawn.
  std::uint64_t m_FencingNumber = 0;
  schema::Outcome m_Outcome = schema::NOT_RUN;
};

// 200 carried out, 409 old number, 502 refused by the backend server, 422 wrong
// order, 503 with Retry-After otherwise.
HttpResponse orderResponse(const std::string &OrderId, const OrderEnd &End);

} // namespace mangocart

#endif
