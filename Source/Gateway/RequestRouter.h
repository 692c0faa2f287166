// Receives callers' requests at a gateway, resolves route, customer and
// service, and rejects requests that cannot be served.
#ifndef MANGOCART_GATEWAY_REQUESTROUTER_H
#define MANGOCART_GATEWAY_REQUESTROUTER_H

#include "Core/Random.h"
#include "Gateway/CallerProtocol.h"
#include "Gateway/GatewayContext.h"
#include "Http/HttpServer.h"

namespace mangocart {

struct RouteConfig;

// A single instance serves all worker threads.
class RequestRouter {
public:
  RequestRouter(GatewayContext &Context, std::uint64_t Seed)
      : m_Context(Context), m_Random(Seed) {}

  void handle(const std::shared_ptr<HttpExchange> &Exchange);

private:
  std::string chooseService(const RouteConfig &Route);
  // False if the gateway stops before the request is expected to be answered.
  bool isAnsweredBeforeDrainEnd(const std::string &Service,
                                const RouteConfig &Route,
                                const CallerRequest &Caller) const;
  void reject(HttpExchange &Exchange, const CallerRequest &Caller,
              unsigned Status, std::string_view Reason,
              std::optional<Duration> RetryAfter, std::uint64_t PlanVersion);

  GatewayContext &m_Context;
  std::mutex m_RandomMutex;
  // Guarded by m_RandomMutex.
  Random m_Random;
};

} // namespace mangocart

#endif
