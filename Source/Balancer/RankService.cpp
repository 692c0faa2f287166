// The sequence of engine requests that builds one reply.
#include "Balancer/RankService.h"

#include "Events/EventLog.h"

namespace mangocart {

namespace {

// States and counts of large groups have some hundred kilobytes.
constexpr std::size_t MaxAnswerBytes = std::size_t{4} * 1024 * 1024;
// Of an answer that can't be used, for the log.
constexpr std::size_t MaxLoggedBytes = 256;
// Short, because the replica is on the same machine and answers within a few
// ms.
constexpr Duration CallTimeout = std::chrono::milliseconds(60);
// An order without an answer in this time may be executed later; a later report
// will then show its effect.
constexpr Duration OrderTimeout = std::chrono::milliseconds(15);
// Maximum number of sends of one order. All fit into the time that a
// coordinator waits for the reply.
constexpr unsigned MaxOrderSends = 8;

} // namespace

struct RankService::PendingRequest {
  HttpTarget m_Replica;
  schema::RankRequest m_Request;
  schema::RankReply m_Reply;
  Handler m_Done;
  // Empty if there is no order.
  std::optional<RankOrder> m_Order;
  unsigned m_OrderSends = 0;
  bool m_OrderAnswered = false;
};

RankService::RankService(HttpClient &Client, HttpTarget Replica,
                         const EngineProtocol &Protocol, EventLog &Events)
    : m_Client(Client), m_Replica(std::move(Replica)), m_Protocol(Protocol),
      m_Events(Events) {}

void RankService::query(const schema::RankRequest &Request, Handler Done) {
  if (Request.has_base_map())
    m_KnownMaps.keepBase(Request.base_map());
  queryReplica(m_Replica, Request,
               [this, Done = std::move(Done)](schema::RankReply Reply) {
                 for (const std::uint64_t Hash : m_KnownMaps.hashes())
                   Reply.add_known_maps(Hash);
                 Done(std::move(Reply));
               });
}

void RankService::queryReplica(const HttpTarget &Replica,
                               const schema::RankRequest &Request,
                               Handler Done) {
  auto Pending = std::make_shared<PendingRequest>(
      PendingRequest{Replica, Request, {}, std::move(Done), {}});
  if (!Request.has_order())
    return fetchState(Pending);
  Pending->m_Order = m_KnownMaps.decode(Request.order());
  if (Pending->m_Order)
    return sendOrder(Pending);
  m_Events.write(Event::OrderBaseUnknown,
                 {{"version", Request.order().version()},
                  {"base", Request.order().base()}});
  fetchState(Pending);
}

void RankService::sendOrderTo(const HttpTarget &Replica,
                              const schema::RankOrder &Order,
                              const std::function<void()> &Done) {
  const auto Pending =
      std::make_shared<PendingRequest>(PendingRequest{Replica, {}, {}, {}, {}});
  send(Pending, m_Protocol.orderRequest(fromSchema(Order)), OrderTimeout,
       [Done](bool, const std::string &) { Done(); });
}

void RankService::sendOrder(const std::shared_ptr<PendingRequest> &Pending) {
  Pending->m_Reply.set_order_sends(++Pending->m_OrderSends);
  send(Pending, m_Protocol.orderRequest(*Pending->m_Order), OrderTimeout,
       [this, Pending](bool Answered, const std::string &) {
         Pending->m_OrderAnswered = Answered;
         fetchState(Pending);
       });
}

// A missing answer is passed on as an empty one; the next step depends on the
// state alone.
void RankService::send(const std::shared_ptr<PendingRequest> &Pending,
                       HttpRequest Request, Duration Timeout,
                       const AnswerHandler &OnAnswer) {
  struct Answer {
    std::string m_Body;
    unsigned m_Status = 0;
  };
  const auto Response = std::make_shared<Answer>();
  HttpCallHandlers Handlers;
  Handlers.m_OnHead = [Response](const HttpHead &Head) {
    Response->m_Status = Head.m_Status;
  };
  Handlers.m_OnBody = [Response](std::string_view Piece) {
    Response->m_Body.append(Piece);
  };
  Handlers.m_OnEnd = [this, Pending, Response, OnAnswer,
                      Target = Request.m_Target] {
    constexpr unsigned FirstFailure = 300;
    if (Response->m_Status >= FirstFailure)
      m_Events.write(Event::EngineAnswerUnusable,
                     {{"target", Target},
                      {"status", Response->m_Status},
                      {"detail", Response->m_Body.substr(0, MaxLoggedBytes)}});
    m_Reachable = true;
    OnAnswer(true, Response->m_Body);
  };
  Handlers.m_OnError = [this, Pending, OnAnswer,
                        Target = Request.m_Target](const HttpError &Error) {
    // Logged once until the replica answers again.
    if (std::exchange(m_Reachable, false))
      m_Events.write(
          Event::EngineAnswerUnusable,
          {{"target", Target}, {"status", 0}, {"detail", Error.m_Detail}});
    OnAnswer(false, {});
  };
  Handlers.m_MaxBodyBytes = MaxAnswerBytes;
  m_Client.send(Pending->m_Replica, std::move(Request), Timeout,
                std::move(Handlers));
}

void RankService::fetchState(const std::shared_ptr<PendingRequest> &Pending) {
  send(Pending, m_Protocol.stateRequest(), CallTimeout,
       [this, Pending](bool, const std::string &Body) {
         const auto State = m_Protocol.parseState(Body);
         if (State)
           *Pending->m_Reply.mutable_report() = toSchema(*State);
         if (State && Pending->m_Order && !Pending->m_OrderAnswered &&
             Pending->m_OrderSends < MaxOrderSends &&
             isSafeToResend(*Pending->m_Order, State->m_Report))
           return sendOrder(Pending);
         fetchCounts(Pending);
       });
}

void RankService::fetchCounts(const std::shared_ptr<PendingRequest> &Pending) {
  if (!Pending->m_Request.wants_counts() || !Pending->m_Reply.has_report())
    return fetchExperts(Pending);
  send(Pending, m_Protocol.countsRequest(), CallTimeout,
       [this, Pending](bool, const std::string &Body) {
         if (auto Counts = m_Protocol.parseCounts(Body)) {
           const auto New = takeIncrement(m_Counts, *std::move(Counts));
           Pending->m_Reply.mutable_counts()->Add(New.begin(), New.end());
         }
         fetchExperts(Pending);
       });
}

void RankService::fetchExperts(const std::shared_ptr<PendingRequest> &Pending) {
  if (!Pending->m_Request.wants_experts() || !Pending->m_Reply.has_report())
    return Pending->m_Done(std::move(Pending->m_Reply));
  send(Pending, m_Protocol.expertsRequest(), CallTimeout,
       [this, Pending](bool, const std::string &Body) {
         if (const auto Experts = m_Protocol.parseExperts(Body)) {
           Pending->m_Reply.set_experts_version(Experts->m_MapVersion);
           for (const auto &Layer : Experts->m_ByLayer) {
             Pending->m_Reply.add_experts_in_layer(
                 static_cast<std::uint32_t>(Layer.size()));
             for (const ExpertId Expert : Layer)
               Pending->m_Reply.add_experts(Expert);
           }
         }
         Pending->m_Done(std::move(Pending->m_Reply));
       });
}

} // namespace mangocart
