// Order transport between the entries and the backend server.
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
constexpr const char *OrdersPath = "/orders";
constexpr const char *OrderHeader = "Mangocart-Order";
constexpr const char *KindHeader = "Mangocart-Order-Kind";
constexpr const char *FencingNumberHeader = "Mangocart-Fencing-Number";
constexpr Duration BackendTimeout = std::chrono::seconds(30);
constexpr Duration FenceTimeout = std::chrono::seconds(1);
// Delay after an unanswered fencing number request; doubled each time, so that
// many agents don't overload the entries while there is no majority.
constexpr Duration InitialRetryInterval = std::chrono::milliseconds(100);
constexpr Duration MaxRetryInterval = std::chrono::seconds(2);
constexpr std::size_t MaxAnswerBytes = 1024;

std::optional<std::uint64_t>
parseFencingNumber(const std::vector<HttpHeader> &Headers) {
  const auto Text = findHeader(Headers, FencingNumberHeader);
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
  Request.m_Target = OrdersPath;
  Request.m_Headers = {
      {OrderHeader, Order.order_id()},
      {KindHeader, schema::Order::Kind_Name(Order.kind())},
      {FencingNumberHeader, std::to_string(Order.fencing_number())}};
  Request.m_Body = Order.payload();
  return Request;
}

HttpCallHandlers makeHandlers(const OrderExecutor::ResultHandler &OnResult) {
  const auto Result = std::make_shared<BackendOrderResult>();
  HttpCallHandlers Handlers;
  Handlers.m_OnHead = [Result](const HttpHead &Head) {
    Result->m_Status = Head.m_Status;
    Result->m_CurrentFencingNumber = parseFencingNumber(Head.m_Headers);
  };
  Handlers.m_OnBody = [Result](std::string_view Data) {
    if (Result->m_Detail.size() < MaxAnswerBytes)
      Result->m_Detail.append(Data);
  };
  Handlers.m_OnEnd = [Result, OnResult] {
    Result->m_Outcome = BackendOrderResult::Outcome::Answered;
    OnResult(*Result);
  };
  Handlers.m_OnError = [OnResult](const HttpError &Error) {
    BackendOrderResult Failure;
    Failure.m_Outcome = Error.m_NothingSent
                            ? BackendOrderResult::Outcome::NeverSent
                            : BackendOrderResult::Outcome::Lost;
    Failure.m_Detail = Error.m_Detail;
    OnResult(Failure);
  };
  return Handlers;
}

} // namespace

OrderService::OrderService(AgentContext &Context, PeerClient &Peers,
                           const ConfigurationHolder &Configuration)
    : m_Context(Context), m_Peers(Peers), m_Configuration(Configuration),
      m_Timer(Context.m_Workers.worker(0)),
      m_Executor(Context.m_Settings.name(), Context.m_Guard, makeBackend()) {}

OrderExecutor::Backend OrderService::makeBackend() {
  return {[this] { return checksFencingNumbers(); },
          [this](const schema::Order &Order,
                 const OrderExecutor::ResultHandler &OnResult) {
            sendToBackend(Order, OnResult);
          }};
}

void OrderService::addMethod(PeerServer &Server) {
  addAsyncMethod(
      Server, OrderMethod,
      [Self = shared_from_this()](std::string_view Bytes, UnaryAnswer Answer) {
        schema::Order Order;
        if (!Order.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
          return false;
        postTask(Self->m_Timer.get_executor(),
                 [Self, Order, Answer = std::move(Answer)] {
                   Self->m_Executor.execute(
                       Order, [Self, Order, Answer](const auto &Reply) {
                         Self->logAnswer(Order, Reply);
                         Answer(Reply.SerializeAsString());
                       });
                 });
        return true;
      });
}

void OrderService::start() {
  postTask(m_Timer.get_executor(),
           [Self = shared_from_this()] { Self->requestFencingNumber(); });
}

void OrderService::startLeaving() {
  postTask(m_Timer.get_executor(),
           [Self = shared_from_this()] { Self->m_Executor.startLeaving(); });
}

bool OrderService::checksFencingNumbers() const {
  const ConfigurationPtr Current = m_Configuration.current();
  for (const schema::Service &Service : Current->services())
    if (Service.name() == m_Context.m_Settings.service())
      return Service.checks_fencing_numbers();
  return false;
}

void OrderService::sendToBackend(const schema::Order &Order,
                                 const OrderExecutor::ResultHandler &OnResult) {
  m_Context.m_Clients.on(m_Timer.get_executor())
      .send(m_Context.backend(), toRequest(Order), BackendTimeout,
            makeHandlers(OnResult));
}

void OrderService::logAnswer(const schema::Order &Order,
                             const schema::OrderAnswer &Answer) {
  const bool IsCarriedOut =
      Answer.verdict() == schema::OrderAnswer::CARRIED_OUT;
  m_Context.m_Events.write(
      IsCarriedOut ? Event::OrderCarriedOut : Event::OrderNotCarriedOut,
      {{"order", Order.order_id()},
       {"kind", schema::Order::Kind_Name(Order.kind())},
       {"fencing_number", Order.fencing_number()},
       {"verdict", schema::OrderAnswer::Verdict_Name(Answer.verdict())},
       {"number_in_force", Answer.number_in_force()},
       {"detail", Answer.detail()}});
}

void OrderService::requestFencingNumber() {
  const auto &Entries = m_Context.m_Settings.entries();
  if (m_Executor.hasFencingNumber() || Entries.empty())
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
                   Self->handleFenceReply(Bytes);
                 });
      });
}

void OrderService::handleFenceReply(const std::string &Bytes) {
  schema::FenceReply Reply;
  if (Reply.ParseFromString(Bytes) && m_Executor.recordFenceReply(Reply))
    return m_Context.m_Events.write(
        Event::FenceLearnt, {{"fencing_number", Reply.fencing_number()}});
  m_RetryInterval =
      std::clamp(2 * m_RetryInterval, InitialRetryInterval, MaxRetryInterval);
  m_Timer.expires_after(m_RetryInterval);
  m_Timer.async_wait(
      [Self = shared_from_this()](boost::system::error_code Error) {
        if (!Error)
          Self->requestFencingNumber();
      });
}

} // namespace mangocart
