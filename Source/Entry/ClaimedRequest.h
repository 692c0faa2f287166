// Handles a non-idempotent request: it is claimed in the replicated log before
// it is sent, and settled there afterwards.
#ifndef MANGOCART_ENTRY_CLAIMEDREQUEST_H
#define MANGOCART_ENTRY_CLAIMEDREQUEST_H

#include "Entry/AdmissionController.h"
#include "Entry/RouteMatch.h"
#include "Http/HttpServer.h"
#include "State/Settlement.h"

#include <memory>
#include <string>

namespace mangocart {

struct EntryContext;

class ClaimedRequest {
public:
  static void start(EntryContext &Context,
                    const std::shared_ptr<HttpExchange> &Exchange,
                    const RouteMatch &Match, const std::string &RequestId,
                    AdmissionPermit Permit);
};

// Converts the answer of a settlement to an HTTP response. Key is the
// idempotency key of the request.
HttpResponse toResponse(const AnswerCaller &Answer,
                        const std::string &RequestId, const std::string &Key);

} // namespace mangocart

#endif
