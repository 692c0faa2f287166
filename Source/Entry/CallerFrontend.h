// Handles callers' requests: determines route and customer, applies admission
// control, and forwards each request as its route requires.
#ifndef MANGOCART_ENTRY_CALLERFRONTEND_H
#define MANGOCART_ENTRY_CALLERFRONTEND_H

#include "Entry/AdmissionController.h"
#include "Entry/LocalReply.h"
#include "Entry/RouteMatch.h"
#include "Http/HttpServer.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace mangocart {

struct EntryContext;

class CallerFrontend {
public:
  // The incarnation distinguishes request ids of this run of the entry from
  // those of earlier runs.
  CallerFrontend(EntryContext &Context, std::uint64_t Incarnation);

  void handle(const std::shared_ptr<HttpExchange> &Exchange);
  // Makes the health endpoint fail, so that the load balancer of the platform
  // sends no more callers; requests that still arrive are served.
  void startLeaving() { m_Leaving = true; }

private:
  std::string makeRequestId();
  void submitForAdmission(const std::shared_ptr<HttpExchange> &Exchange,
                          const schema::Customer &Customer, RouteMatch Match,
                          std::string RequestId);
  void refuse(HttpExchange &Exchange, const LocalReply &Answer,
              const std::string &RequestId);
  void forward(const std::shared_ptr<HttpExchange> &Exchange, RouteMatch Match,
               std::string RequestId, AdmissionPermit Permit);
  void answerHealth(HttpExchange &Exchange) const;

  EntryContext &m_Context;
  const std::string m_RequestIdPrefix;
  std::atomic<std::uint64_t> m_RequestCount{0};
  std::atomic<bool> m_Leaving{false};
};

} // namespace mangocart

#endif
