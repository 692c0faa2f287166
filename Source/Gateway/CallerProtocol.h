// What a gateway needs to know of the protocol that callers and backend servers
// speak. The names on the wire stand behind this interface only.
#ifndef MANGOCART_GATEWAY_CALLERPROTOCOL_H
#define MANGOCART_GATEWAY_CALLERPROTOCOL_H

#include "Core/Result.h"
#include "Gateway/RoutingPlan.h"
#include "Http/HttpMessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace mangocart {

// What a request says besides method, target and body.
struct CallerRequest {
  // Empty: the caller gave none.
  std::string m_RequestId;
  // Without a port.
  std::string m_Host;
  // Without the query.
  std::string m_Path;
  // How long the caller waits from now on.
  std::optional<Duration> m_TimeLeft;
  std::optional<std::string> m_CustomerKey;
  // Number of the last event that the caller has.
  std::optional<std::string> m_LastEventId;
  std::uint64_t m_PromptTokens = 0;
  std::uint64_t m_MaxOutputTokens = 0;
  // Estimate of the output tokens; 0: none.
  std::uint64_t m_LikelyOutputTokens = 0;

  bool operator==(const CallerRequest &) const = default;
};

// What the gateway adds to a request on its way.
struct ForwardedFacts {
  // Name of the backend server that must be the one to answer.
  std::string m_BackendServer;
  Duration m_TimeLeft = Duration::zero();
  // Empty: the route asks for no key.
  std::string m_Customer;
  std::optional<std::string> m_LastEventId;
  // 0 is served first; absent: the backend server's default.
  std::optional<std::uint32_t> m_Urgency;

  bool operator==(const ForwardedFacts &) const = default;
};

// What a backend server's answer says of the request.
enum class BackendVerdict {
  // An answer of its own, success or failure: the request has run.
  Ran,
  // It did not run the request and never will.
  NotRun,
  // Another backend server has the address; the request did not run.
  OtherServer,
  // It did not run the request, because another rank of its group is missing.
  GroupBroken
};

struct PlanError {
  std::string m_Detail;

  bool operator==(const PlanError &) const = default;
};

class CallerProtocol {
public:
  virtual ~CallerProtocol() = default;

  virtual CallerRequest read(const HttpRequest &Request) const = 0;
  // The request as it goes to a backend server: method, target and body as they
  // came, without the headers that concern one connection only.
  virtual HttpRequest forward(const HttpRequest &Request,
                              const ForwardedFacts &Facts) const = 0;
  // A call that an engine answers at once, however busy it is.
  virtual HttpRequest lifeSign() const = 0;
  // Whether the answer names the request as the one that it answers.
  virtual bool answers(const HttpHead &Answer,
                       std::string_view RequestId) const = 0;
  // From is the address that answered, "IP:PORT".
  virtual BackendVerdict judge(const HttpHead &Answer,
                               std::string_view From) const = 0;
  // The answer's head as it goes to the caller.
  virtual HttpHead toCaller(const HttpHead &Answer) const = 0;
  // An answer of the gateway's own.
  virtual HttpResponse ownAnswer(unsigned Status, std::string_view Detail,
                                 std::string_view RequestId,
                                 std::optional<Duration> RetryAfter) const = 0;
  // Reads a configuration that voters have accepted.
  virtual Result<RoutingPlan, PlanError>
  readPlan(std::string_view Document) const = 0;
};

} // namespace mangocart

#endif
