// One question after the other on the way to a reply.
#include "Balancer/RankService.h"

#include "Events/EventLog.h"

namespace mangocart {

namespace {

// The replica is on the same machine and answers within a few ms.
constexpr Duration CallTimeout = std::chrono::milliseconds(60);
// An order that gets no answer in this time may be carried out later, and its
// effect will show in a later report.
constexpr Duration OrderTimeout = std::chrono::milliseconds(15);
// Sends of one order, all within a coordinator's wait for the reply.
constexpr unsigned MaxOrderSends = 8;

schema::RankOrder::Kind toSchema(RankOrderKind Kind) {
  switch (Kind) {
  case RankOrderKind::Prepare:
    return schema::RankOrder::PREPARE;
  case RankOrderKind::Arm:
    return schema::RankOrder::ARM;
  case RankOrderKind::Disarm:
    return schema::RankOrder::DISARM;
  case RankOrderKind::Hold:
    return schema::RankOrder::HOLD;
  case RankOrderKind::Release:
    return schema::RankOrder::RELEASE;
  }
  return schema::RankOrder::KIND_UNSPECIFIED;
}

RankOrderKind fromSchema(schema::RankOrder::Kind Kind) {
  switch (Kind) {
  case schema::RankOrder::ARM:
    return RankOrderKind::Arm;
  case schema::RankOrder::DISARM:
    return RankOrderKind::Disarm;
  case schema::RankOrder::HOLD:
    return RankOrderKind::Hold;
  case schema::RankOrder::RELEASE:
    return RankOrderKind::Release;
  default:
    return RankOrderKind::Prepare;
  }
}

} // namespace

schema::RankReport toSchema(const RankState &State) {
  const RankReport &From = State.m_Report;
  schema::RankReport Out;
  Out.set_group(State.m_Group);
  Out.set_rank(State.m_Rank);
  Out.set_size(State.m_Size);
  Out.set_epoch(From.m_Epoch);
  Out.set_open(From.m_IsOpen);
  Out.set_sequence(From.m_Sequence);
  Out.set_busy(From.m_IsBusy);
  Out.set_pass(From.m_Pass);
  Out.set_map_version(From.m_MapVersion);
  Out.set_prepared(From.m_Prepared);
  Out.set_armed(From.m_Armed);
  Out.set_held_pass(From.m_HeldPass);
  Out.set_running(State.m_Running);
  Out.set_waiting(State.m_Waiting);
  Out.set_slowness(State.m_Slowness);
  return Out;
}

RankState fromSchema(const schema::RankReport &Report) {
  RankState State;
  State.m_Group = Report.group();
  State.m_Rank = Report.rank();
  State.m_Size = Report.size();
  State.m_Running = Report.running();
  State.m_Waiting = Report.waiting();
  State.m_Slowness = Report.slowness();
  RankReport &To = State.m_Report;
  To.m_Epoch = Report.epoch();
  To.m_IsOpen = Report.open();
  To.m_Sequence = Report.sequence();
  To.m_IsBusy = Report.busy();
  To.m_Pass = Report.pass();
  To.m_MapVersion = Report.map_version();
  To.m_Prepared = Report.prepared();
  To.m_Armed = Report.armed();
  To.m_HeldPass = Report.held_pass();
  return State;
}

schema::RankOrder toSchema(const RankOrder &Order) {
  schema::RankOrder Out;
  Out.set_kind(toSchema(Order.m_Kind));
  Out.set_version(Order.m_Version);
  Out.set_pass(Order.m_Pass);
  Out.set_epoch(Order.m_Epoch);
  Out.set_expected_sequence(Order.m_ExpectedSequence);
  if (!Order.m_Map)
    return Out;
  const GroupShape &Shape = Order.m_Map->m_Shape;
  Out.set_layers(Shape.m_Layers);
  Out.set_ranks(Shape.m_Ranks);
  Out.set_slots_per_rank(Shape.m_SlotsPerRank);
  Out.set_experts(Shape.m_Experts);
  for (const ExpertId Expert : Order.m_Map->m_Slots)
    Out.add_slots(Expert);
  return Out;
}

RankOrder fromSchema(const schema::RankOrder &Order) {
  RankOrder Out;
  Out.m_Kind = fromSchema(Order.kind());
  Out.m_Version = Order.version();
  Out.m_Pass = Order.pass();
  Out.m_Epoch = Order.epoch();
  Out.m_ExpectedSequence = Order.expected_sequence();
  if (Order.slots().empty())
    return Out;
  auto Map = std::make_shared<ExpertMap>();
  Map->m_Shape = {Order.ranks(), Order.experts(), Order.layers(),
                  Order.slots_per_rank()};
  for (const std::uint32_t Expert : Order.slots())
    Map->m_Slots.push_back(static_cast<ExpertId>(Expert));
  Out.m_Map = std::move(Map);
  return Out;
}

struct RankService::Question {
  HttpTarget m_Replica;
  schema::RankRequest m_Request;
  schema::RankReply m_Reply;
  Handler m_Done;
  // Null without an order.
  std::optional<RankOrder> m_Order;
  unsigned m_OrderSends = 0;
  bool m_OrderAnswered = false;
};

RankService::RankService(HttpClient &Client, HttpTarget Replica,
                         const EngineProtocol &Protocol, EventLog &Events)
    : m_Client(Client), m_Replica(std::move(Replica)), m_Protocol(Protocol),
      m_Events(Events) {}

void RankService::askAt(const HttpTarget &Replica,
                        const schema::RankRequest &Request, Handler Done) {
  auto For = std::make_shared<Question>(
      Question{Replica, Request, {}, std::move(Done), {}});
  if (!Request.has_order())
    return askState(For);
  For->m_Order = fromSchema(Request.order());
  sendOrder(For);
}

void RankService::orderAt(const HttpTarget &Replica,
                          const schema::RankOrder &Order,
                          const std::function<void()> &Done) {
  const auto For =
      std::make_shared<Question>(Question{Replica, {}, {}, {}, {}});
  send(For, m_Protocol.order(fromSchema(Order)), OrderTimeout,
       [Done](bool, const std::string &) { Done(); });
}

void RankService::sendOrder(const std::shared_ptr<Question> &For) {
  For->m_Reply.set_order_sends(++For->m_OrderSends);
  send(For, m_Protocol.order(*For->m_Order), OrderTimeout,
       [this, For](bool Answered, const std::string &) {
         For->m_OrderAnswered = Answered;
         askState(For);
       });
}

// An answer that doesn't come is an empty one: what follows is decided by the
// state alone.
void RankService::send(const std::shared_ptr<Question> &For,
                       HttpRequest Request, Duration Timeout,
                       const AnswerHandler &Next) {
  struct Answer {
    std::string m_Body;
    unsigned m_Status = 0;
  };
  const auto Got = std::make_shared<Answer>();
  HttpCallHandlers Handlers;
  Handlers.m_OnHead = [Got](const HttpHead &Head) {
    Got->m_Status = Head.m_Status;
  };
  Handlers.m_OnBody = [Got](std::string_view Piece) {
    Got->m_Body.append(Piece);
  };
  Handlers.m_OnEnd = [this, For, Got, Next, Target = Request.m_Target] {
    constexpr unsigned FirstFailure = 300;
    if (Got->m_Status >= FirstFailure)
      m_Events.write(Event::EngineAnswerUnusable, {{"target", Target},
                                                   {"status", Got->m_Status},
                                                   {"detail", Got->m_Body}});
    m_Reachable = true;
    Next(true, Got->m_Body);
  };
  Handlers.m_OnError = [this, For, Next,
                        Target = Request.m_Target](const HttpError &Error) {
    // Once until it answers again.
    if (std::exchange(m_Reachable, false))
      m_Events.write(
          Event::EngineAnswerUnusable,
          {{"target", Target}, {"status", 0}, {"detail", Error.m_Detail}});
    Next(false, {});
  };
  m_Client.send(For->m_Replica, std::move(Request), Timeout,
                std::move(Handlers));
}

void RankService::askState(const std::shared_ptr<Question> &For) {
  send(For, m_Protocol.askState(), CallTimeout,
       [this, For](bool, const std::string &Body) {
         const auto State = m_Protocol.readState(Body);
         if (State)
           *For->m_Reply.mutable_report() = toSchema(*State);
         if (State && For->m_Order && !For->m_OrderAnswered &&
             For->m_OrderSends < MaxOrderSends &&
             canRepeat(*For->m_Order, State->m_Report))
           return sendOrder(For);
         askCounts(For);
       });
}

void RankService::askCounts(const std::shared_ptr<Question> &For) {
  if (!For->m_Request.wants_counts() || !For->m_Reply.has_report())
    return askExperts(For);
  send(For, m_Protocol.askCounts(), CallTimeout,
       [this, For](bool, const std::string &Body) {
         if (auto Counts = m_Protocol.readCounts(Body)) {
           const auto New = takeNew(m_Counts, *std::move(Counts));
           For->m_Reply.mutable_counts()->Add(New.begin(), New.end());
         }
         askExperts(For);
       });
}

void RankService::askExperts(const std::shared_ptr<Question> &For) {
  if (!For->m_Request.wants_experts() || !For->m_Reply.has_report())
    return For->m_Done(std::move(For->m_Reply));
  send(For, m_Protocol.askExperts(), CallTimeout,
       [this, For](bool, const std::string &Body) {
         if (const auto Experts = m_Protocol.readExperts(Body)) {
           For->m_Reply.set_experts_version(Experts->m_MapVersion);
           for (const auto &Layer : Experts->m_ByLayer) {
             For->m_Reply.add_experts_in_layer(
                 static_cast<std::uint32_t>(Layer.size()));
             for (const ExpertId Expert : Layer)
               For->m_Reply.add_experts(Expert);
           }
         }
         For->m_Done(std::move(For->m_Reply));
       });
}

} // namespace mangocart
