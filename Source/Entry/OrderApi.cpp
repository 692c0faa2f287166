#include "Entry/OrderApi.h"

#include "Core/PostTask.h"
#include "Core/WorkerPool.h"
#include "Entry/EntryContext.h"
#include "Entry/MembershipDirectory.h"
#include "Entry/OrderSender.h"
#include "Events/EventLog.h"
#include "Http/HttpServer.h"
#include "Net/UnaryMethod.h"
#include "Planning/AdminMessages.h"
#include "Raft/ReplicatedLog.h"

#include <algorithm>

namespace mangocart {

namespace {

constexpr unsigned StatusNotFound = 404;
constexpr const char *OrderMethod = "/agent/order";
constexpr const char *FenceMethod = "/entry/fence";
// Longer than an agent's timeout for its backend server.
constexpr Duration AgentTimeout = std::chrono::seconds(31);
constexpr Duration FenceTimeout = std::chrono::milliseconds(900);

void report(EntryContext &Context, const schema::Order &Order,
            const OrderEnd &End) {
  Context.m_Events.write(
      Event::OrderEnded,
      {{"order", Order.order_id()},
       {"backend_server", Order.backend_server()},
       {"kind", orderKindName(Order.kind())},
       {"fencing_number", End.m_FencingNumber},
       {"verdict", schema::OrderAnswer::Verdict_Name(End.m_Answer.verdict())},
       {"outcome", schema::Outcome_Name(End.m_Outcome)}});
}

} // namespace

void handleOrder(EntryContext &Context,
                 const std::shared_ptr<HttpExchange> &Exchange) {
  auto Parsed = parseOrder(Exchange->request().m_Body);
  if (!Parsed)
    return Exchange->respond(Parsed.error());
  const schema::Order Order = Parsed.value().m_Order;
  const auto Known = Context.m_Directory.locate(Order.backend_server());
  if (!Known)
    return Exchange->respond(errorResponse(
        StatusNotFound, "no backend server of that name is known"));
  OrderDependencies Dependencies{
      Context.m_Log,
      [&Context, Last = Known->m_Agent, Name = Order.backend_server()] {
        const auto Now = Context.m_Directory.locate(Name);
        return Now ? Now->m_Agent : Last;
      },
      [&Context](const PeerEndpoint &To, const schema::Order &Sent,
                 Duration Left, PeerClient::UnaryHandler Done) {
        Context.m_Events.write(Event::OrderSent,
                               {{"order", Sent.order_id()},
                                {"backend_server", Sent.backend_server()},
                                {"fencing_number", Sent.fencing_number()}});
        Context.m_Peers.call(To, OrderMethod, Sent.SerializeAsString(),
                             std::min(AgentTimeout, Left), std::move(Done));
      },
      Context.m_Workers.worker(0).get_executor()};
  OrderSender::start(
      std::move(Dependencies), std::move(Parsed).value(),
      [&Context, Exchange, Order](const OrderEnd &End) {
        report(Context, Order, End);
        postTask(Exchange->executor(),
                 [Exchange, Response = orderResponse(Order.order_id(), End)] {
                   Exchange->respond(Response);
                 });
      });
}

void addFenceMethod(PeerServer &Server, ReplicatedLog &Log) {
  addAsyncMethod(
      Server, FenceMethod, [&Log](std::string_view Bytes, UnaryAnswer Answer) {
        schema::FenceRequest Request;
        if (!Request.ParseFromArray(Bytes.data(),
                                    static_cast<int>(Bytes.size())))
          return false;
        schema::Command Command;
        Command.set_fence_in_force(Request.backend_server());
        Log.propose(
            std::move(Command), FenceTimeout,
            [Answer = std::move(Answer)](
                const Result<schema::CommandReply, ProposeError> &Reply) {
              schema::FenceReply Known;
              if (Reply && Reply.value().has_fencing_number()) {
                Known.set_answered(true);
                Known.set_fencing_number(Reply.value().fencing_number());
              }
              Answer(Known.SerializeAsString());
            });
        return true;
      });
}

} // namespace mangocart
