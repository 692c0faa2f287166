// Requests and answers of the administration API for plan, accept and drain.
// The daemon wires these functions to its server; docs/commands/ states the
// shapes.
#ifndef MANGOCART_PLANNING_ADMINMESSAGES_H
#define MANGOCART_PLANNING_ADMINMESSAGES_H

#include "Core/Result.h"
#include "Http/HttpMessage.h"

#include <chrono>
#include <string>
#include <string_view>

namespace mangocart {

namespace schema {
class AcceptConfiguration;
class AcceptReply;
class Configuration;
} // namespace schema

// An answer with a JSON body.
HttpResponse jsonResponse(unsigned Status, std::string Body);
// {"error":TEXT}
HttpResponse errorResponse(unsigned Status, std::string_view Text);
// 503 with Retry-After; nothing was changed, or it isn't known whether.
HttpResponse unavailableResponse(std::string_view Text,
                                 std::chrono::seconds RetryAfter);

// GET /v1/configuration: the configuration in force.
HttpResponse configurationResponse(const schema::Configuration &InForce);

// POST /v1/plan with answers in TOML: 200 with the plan, or 422 with every
// error in the answers.
HttpResponse planResponse(std::string_view AnswersToml,
                          const schema::Configuration &InForce);

// POST /v1/accept with {"configuration":...,"planned_against":N,
// "operation_id":...,"operator":...}. The error is the answer to send.
Result<schema::AcceptConfiguration, HttpResponse>
parseAccept(std::string_view Body);
// 200 when accepted, 409 with the winner on a conflict.
HttpResponse acceptResponse(const schema::AcceptReply &Reply);

// POST /v1/drain with {"process":NAME}: the name. The error is the answer to
// send.
Result<std::string, HttpResponse> parseDrain(std::string_view Body);

} // namespace mangocart

#endif
