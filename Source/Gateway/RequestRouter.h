// Takes callers' requests at a gateway: finds route and customer, and refuses
// at once what can't be served.
#ifndef MANGOCART_GATEWAY_REQUESTROUTER_H
#define MANGOCART_GATEWAY_REQUESTROUTER_H

#include "Core/Random.h"
#include "Gateway/CallerProtocol.h"
#include "Gateway/GatewayContext.h"
#include "Http/HttpServer.h"

namespace mangocart {

// One handler for all workers.
class GatewayFront {
public:
  GatewayFront(GatewayContext &Context, std::uint64_t Seed)
      : m_Context(Context), m_Random(Seed) {}

  void handle(const std::shared_ptr<HttpExchange> &Exchange);

private:
  std::string chooseService(const PlannedRoute &Route);
  void turnAway(HttpExchange &Exchange, const CallerRequest &Caller,
                unsigned Status, std::string_view Reason,
                std::optional<Duration> RetryAfter, std::uint64_t PlanVersion);

  GatewayContext &m_Context;
  std::mutex m_RandomMutex;
  // Guarded by m_RandomMutex.
  Random m_Random;
};

} // namespace mangocart

#endif
