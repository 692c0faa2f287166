// From entry to backend server and back.
#include "Agent/OrderService.h"

#include "Agent/AgentContext.h"
#include "Agent/CallGuard.h"
#include "Configuration/ConfigurationHolder.h"
#include "Core/PostTask.h"
#include "Core/WorkerPool.h"
#include "Events/EventLog.h"
#include "Net/UnaryMethod.h"

#include <algorithm>
#include <charconv>

namespace mangocart {

namespace {

constexpr const char *OrderMethod = "/agent/order";
constexpr const char *FenceMethod = "/entry/fence";
constexpr const char *BackendPath = "/orders";
constexpr const char *OrderHeader = "Mangocart-Order";
constexpr const char *KindHeader = "Mangocart-Order-Kind";
constexpr const char *NumberHeader = "Mangocart-Fencing-Number";
constexpr Duration BackendDeadline = std::chrono::seconds(30);
constexpr Duration FenceTimeout = std::chrono::seconds(1);
// Between questions that weren't answered; doubled each time, so that many
// agents without a majority don't keep the entries busy.
constexpr Duration FirstAskInterval = std::chrono::milliseconds(100);
constexpr Duration LongestAskInterval = std::chrono::seconds(2);
constexpr std::size_t MaxAnswerBytes = 1024;

std::optional<std::uint64_t> numberIn(const std::vector<HttpHeader> &Headers) {
  const auto Text = findHeader(Headers, NumberHeader);
  std::uint64_t Number = 0;
  if (!Text ||
      std::from_chars(Text->data(), Text->data() + Text->size(), Number).ec !=
          std::errc())
    return std::nullopt;
  return Number;
}

HttpRequest toRequest(const schema::Order &Order) {
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Target = BackendPath;
  Request.m_Headers = {{OrderHeader, Order.order_id()},
                       {KindHeader, schema::Order::Kind_Name(Order.kind())},
                       {NumberHeader, std::to_string(Order.fencing_number())}};
  Request.m_Body = Order.payload();
  return Request;
}

HttpCallHandlers handlers(const OrderDesk::ResultHandler &Done) {
  const auto Result = std::make_shared<BackendOrderResult>();
  HttpCallHandlers Handlers;
  Handlers.m_OnHead = [Result](const HttpHead &Head) {
    Result->m_Status = Head.m_Status;
    Result->m_NumberInForce = numberIn(Head.m_Headers);
  };
  Handlers.m_OnBody = [Result](std::string_view Data) {
    if (Result->m_Detail.size() < MaxAnswerBytes)
      Result->m_Detail.append(Data);
  };
  Handlers.m_OnEnd = [Result, Done] {
    Result->m_End = BackendOrderResult::End::Answered;
    Done(*Result);
  };
  Handlers.m_OnError = [Done](const HttpError &Error) {
    BackendOrderResult Lost;
    Lost.m_End = Error.m_NothingSent ? BackendOrderResult::End::NeverSent
                                     : BackendOrderResult::End::Lost;
    Lost.m_Detail = Error.m_Detail;
    Done(Lost);
  };
  return Handlers;
}

} // namespace

OrderService::OrderService(AgentContext &Context, PeerClient &Peers,
                           const ConfigurationHolder &Configuration)
    : m_Context(Context), m_Peers(Peers), m_Configuration(Configuration),
      m_Timer(Context.m_Workers.worker(0)),
      m_Desk(Context.m_Settings.name(), Context.m_Guard, backend()) {}

OrderDesk::Backend OrderService::backend() {
  return {
      [this] { return checksNumbers(); },
      [this](const schema::Order &Order, const OrderDesk::ResultHandler &Done) {
        carryOut(Order, Done);
      }};
}

void OrderService::addMethod(PeerServer &Server) {
  addAsyncMethod(
      Server, OrderMethod,
      [Self = shared_from_this()](std::string_view Bytes, UnaryAnswer Answer) {
        schema::Order Order;
        if (!Order.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
          return false;
        postTask(Self->m_Timer.get_executor(), [Self, Order,
                                                Answer = std::move(Answer)] {
          Self->m_Desk.take(Order, [Self, Order, Answer](const auto &Reply) {
            Self->report(Order, Reply);
            Answer(Reply.SerializeAsString());
          });
        });
        return true;
      });
}

void OrderService::start() {
  postTask(m_Timer.get_executor(),
           [Self = shared_from_this()] { Self->askForNumber(); });
}

void OrderService::startLeaving() {
  postTask(m_Timer.get_executor(),
           [Self = shared_from_this()] { Self->m_Desk.startLeaving(); });
}

bool OrderService::checksNumbers() const {
  const ConfigurationPtr InForce = m_Configuration.current();
  for (const schema::Service &Service : InForce->services())
    if (Service.name() == m_Context.m_Settings.service())
      return Service.checks_fencing_numbers();
  return false;
}

void OrderService::carryOut(const schema::Order &Order,
                            const OrderDesk::ResultHandler &Done) {
  m_Context.m_Clients.on(m_Timer.get_executor())
      .send(m_Context.backend(), toRequest(Order), BackendDeadline,
            handlers(Done));
}

void OrderService::report(const schema::Order &Order,
                          const schema::OrderAnswer &Answer) {
  const bool Done = Answer.verdict() == schema::OrderAnswer::CARRIED_OUT;
  m_Context.m_Events.write(
      Done ? Event::OrderCarriedOut : Event::OrderNotCarriedOut,
      {{"order", Order.order_id()},
       {"kind", schema::Order::Kind_Name(Order.kind())},
       {"fencing_number", Order.fencing_number()},
       {"verdict", schema::OrderAnswer::Verdict_Name(Answer.verdict())},
       {"number_in_force", Answer.number_in_force()},
       {"detail", Answer.detail()}});
}

void OrderService::askForNumber() {
  const auto &Entries = m_Context.m_Settings.entries();
  if (m_Desk.hasLearnt() || Entries.empty())
    return;
  const schema::PeerAddress &Entry = Entries[m_NextEntry++ % Entries.size()];
  schema::FenceRequest Request;
  Request.set_backend_server(m_Context.m_Settings.name());
  m_Peers.call(
      {Entry.address(), static_cast<std::uint16_t>(Entry.peer_port())},
      FenceMethod, Request.SerializeAsString(), FenceTimeout,
      [Self = shared_from_this()](const Result<std::string, PeerError> &Reply) {
        postTask(Self->m_Timer.get_executor(),
                 [Self, Bytes = Reply ? Reply.value() : std::string()] {
                   Self->takeReply(Bytes);
                 });
      });
}

void OrderService::takeReply(const std::string &Bytes) {
  schema::FenceReply Reply;
  if (Reply.ParseFromString(Bytes) && m_Desk.learn(Reply))
    return m_Context.m_Events.write(
        Event::FenceLearnt, {{"fencing_number", Reply.fencing_number()}});
  m_AskInterval =
      std::clamp(2 * m_AskInterval, FirstAskInterval, LongestAskInterval);
  m_Timer.expires_after(m_AskInterval);
  m_Timer.async_wait(
      [Self = shared_from_this()](boost::system::error_code Error) {
        if (!Error)
          Self->askForNumber();
      });
}

} // namespace mangocart
