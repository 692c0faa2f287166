// Takes callers' requests: finds route and customer, and hands each request to
// the kind of handling that its route asks for.
#ifndef MANGOCART_ENTRY_CALLERFRONTEND_H
#define MANGOCART_ENTRY_CALLERFRONTEND_H

#include "Entry/LocalReply.h"
#include "Entry/AdmissionController.h"
#include "Entry/RouteMatch.h"
#include "Http/HttpServer.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace mangocart {

struct EntryContext;

class CallerFront {
public:
  // Incarnation tells this run of the entry from earlier ones in request ids.
  CallerFront(EntryContext &Context, std::uint64_t Incarnation);

  void handle(const std::shared_ptr<HttpExchange> &Exchange);
  // The health page fails from then on, so that the platform's balancer sends
  // no more callers; requests that still arrive are served.
  void startLeaving() { m_Leaving = true; }

private:
  std::string makeRequestId();
  void enterGate(const std::shared_ptr<HttpExchange> &Exchange,
                 const schema::Customer &Customer, RouteMatch Match,
                 std::string RequestId);
  void refuse(HttpExchange &Exchange, const OwnAnswer &Answer,
              const std::string &RequestId);
  void goOn(const std::shared_ptr<HttpExchange> &Exchange, RouteMatch Match,
            std::string RequestId, GatePass Pass);
  void answerHealth(HttpExchange &Exchange) const;

  EntryContext &m_Context;
  const std::string m_RequestIdPrefix;
  std::atomic<std::uint64_t> m_RequestCount{0};
  std::atomic<bool> m_Leaving{false};
};

} // namespace mangocart

#endif
