#include "Entry/AdminApi.h"

#include "Configuration/ConfigurationHolder.h"
#include "Core/PostTask.h"
#include "Entry/EntryContext.h"
#include "Entry/MembershipDirectory.h"
#include "Entry/OrderApi.h"
#include "Events/EventLog.h"
#include "Http/BearerToken.h"
#include "Planning/AdminMessages.h"
#include "Raft/ReplicatedLog.h"

#include <algorithm>
#include <array>

namespace mangocart {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusAccepted = 202;
constexpr unsigned StatusUnauthorized = 401;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusMethodNotAllowed = 405;
constexpr unsigned StatusUnavailable = 503;
constexpr Duration AcceptTimeout = std::chrono::seconds(5);
constexpr Duration DrainTimeout = std::chrono::seconds(2);
constexpr std::chrono::seconds RetryAfterNoQuorum{1};

HttpResponse textResponse(unsigned Status, std::string Text) {
  HttpResponse Response;
  Response.m_Head.m_Status = Status;
  Response.m_Head.m_Headers = {{"Content-Type", "text/plain; version=0.0.4"}};
  Response.m_Body = std::move(Text);
  return Response;
}

// Safe to call from any thread; the response is sent on the executor of the
// exchange.
void postResponse(const std::shared_ptr<HttpExchange> &Exchange,
                  HttpResponse Response) {
  postTask(Exchange->executor(), [Exchange, Response = std::move(Response)] {
    Exchange->respond(Response);
  });
}

std::string_view pathOf(const HttpRequest &Request) {
  const std::string_view Target = Request.m_Target;
  return Target.substr(0, Target.find('?'));
}

} // namespace

struct AdminApi::Endpoint {
  std::string_view m_Method;
  std::string_view m_Path;
  bool m_ChangesState;
  Handler m_Handler;
};

AdminApi::AdminApi(EntryContext &Context, AdminCallbacks Callbacks)
    : m_Context(Context), m_Callbacks(std::move(Callbacks)) {}

void AdminApi::handle(const std::shared_ptr<HttpExchange> &Exchange) {
  static constexpr std::array<Endpoint, 8> Endpoints = {
      {{"GET", "/health", false, &AdminApi::health},
       {"GET", "/metrics", false, &AdminApi::metrics},
       {"GET", "/v1/status", false, &AdminApi::status},
       {"GET", "/v1/configuration", false, &AdminApi::configuration},
       {"POST", "/v1/plan", false, &AdminApi::plan},
       {"POST", "/v1/accept", true, &AdminApi::accept},
       {"POST", "/v1/drain", true, &AdminApi::drain},
       {"POST", "/v1/order", true, &AdminApi::order}}};
  const HttpRequest &Request = Exchange->request();
  const auto Found = std::find_if(
      Endpoints.begin(), Endpoints.end(),
      [&](const Endpoint &Each) { return Each.m_Path == pathOf(Request); });
  if (Found == Endpoints.end())
    return Exchange->respond(errorResponse(StatusNotFound, "no such page"));
  if (Found->m_Method != Request.m_Method)
    return Exchange->respond(
        errorResponse(StatusMethodNotAllowed, "the page takes another method"));
  if (Found->m_ChangesState && !allowed(Request)) {
    m_Context.m_Events.write(
        Event::AdminRefused,
        {{"path", Request.m_Target}, {"address", Request.m_RemoteAddress}});
    return Exchange->respond(errorResponse(
        StatusUnauthorized, "a valid bearer token is needed: see the setting "
                            "admin_token_file"));
  }
  (this->*Found->m_Handler)(Exchange);
}

bool AdminApi::allowed(const HttpRequest &Request) const {
  const auto Received = findHeader(Request.m_Headers, "Authorization");
  return Received && tokenMatches(bearerToken(*Received), m_Callbacks.m_Token);
}

void AdminApi::health(const std::shared_ptr<HttpExchange> &Exchange) {
  const bool Serving = m_Callbacks.m_Serving();
  Exchange->respond(textResponse(Serving ? StatusOk : StatusUnavailable,
                                 Serving ? "serving\n" : "not serving\n"));
}

void AdminApi::metrics(const std::shared_ptr<HttpExchange> &Exchange) {
  Exchange->respond(textResponse(StatusOk, m_Callbacks.m_Metrics()));
}

void AdminApi::status(const std::shared_ptr<HttpExchange> &Exchange) {
  Exchange->respond(jsonResponse(StatusOk, m_Callbacks.m_Status()));
}

void AdminApi::configuration(const std::shared_ptr<HttpExchange> &Exchange) {
  Exchange->respond(
      configurationResponse(*m_Context.m_Configuration.current()));
}

void AdminApi::plan(const std::shared_ptr<HttpExchange> &Exchange) {
  Exchange->respond(planResponse(Exchange->request().m_Body,
                                 *m_Context.m_Configuration.current()));
}

void AdminApi::accept(const std::shared_ptr<HttpExchange> &Exchange) {
  auto Parsed = parseAccept(Exchange->request().m_Body);
  if (!Parsed)
    return Exchange->respond(Parsed.error());
  schema::Command Command;
  *Command.mutable_accept() = std::move(Parsed).value();
  const auto Planned =
      std::make_shared<schema::Configuration>(Command.accept().configuration());
  m_Context.m_Log.propose(
      std::move(Command), AcceptTimeout,
      [this, Exchange,
       Planned](const Result<schema::CommandReply, ProposeError> &Reply) {
        if (!Reply)
          return postResponse(
              Exchange,
              unavailableResponse(Reply.error().m_Detail, RetryAfterNoQuorum));
        const schema::AcceptReply &Accepted = Reply.value().accept();
        // Put in force locally before the operator gets the response, so that a
        // subsequent plan at this entry is based on it.
        if (Accepted.verdict() == schema::AcceptReply::ACCEPTED) {
          Planned->set_version(Accepted.version());
          m_Context.m_Configuration.offer(*Planned);
        }
        postResponse(Exchange, acceptResponse(Accepted));
      });
}

void AdminApi::drain(const std::shared_ptr<HttpExchange> &Exchange) {
  const auto Process = parseDrain(Exchange->request().m_Body);
  if (!Process)
    return Exchange->respond(Process.error());
  if (Process.value() != m_Context.m_Settings.name())
    return drainProcess(Exchange, Process.value());
  m_Callbacks.m_DrainSelf();
  Exchange->respond(jsonResponse(StatusAccepted, R"({"draining":true})"));
}

void AdminApi::order(const std::shared_ptr<HttpExchange> &Exchange) {
  handleOrder(m_Context, Exchange);
}

void AdminApi::drainProcess(const std::shared_ptr<HttpExchange> &Exchange,
                            const std::string &Process) {
  PeerEndpoint To;
  std::string Method = "/entry/drain";
  for (const schema::PeerAddress &Entry : m_Context.m_Settings.entries())
    if (Entry.name() == Process)
      To = {Entry.address(), static_cast<std::uint16_t>(Entry.peer_port())};
  if (const auto Agent = m_Context.m_Directory.locate(Process)) {
    To = Agent->m_Agent;
    Method = "/agent/drain";
  }
  if (To.m_Port == 0)
    return Exchange->respond(
        errorResponse(StatusNotFound, "no process of that name is known"));
  m_Context.m_Peers.call(
      To, Method, schema::DrainRequest().SerializeAsString(), DrainTimeout,
      [Exchange](const Result<std::string, PeerError> &Reply) {
        HttpResponse Response =
            Reply ? jsonResponse(StatusAccepted, R"({"draining":true})")
                  : unavailableResponse(Reply.error().m_Detail,
                                        RetryAfterNoQuorum);
        postResponse(Exchange, std::move(Response));
      });
}

} // namespace mangocart
