// One request at a gateway: sends it to a backend server, passes the answer on,
// tries again where the rules of at most once allow it, and ends it in time.
#ifndef MANGOCART_GATEWAY_PROXIEDREQUEST_H
#define MANGOCART_GATEWAY_PROXIEDREQUEST_H

#include "Core/Timer.h"
#include "Entry/BackendDirectory.h"
#include "Gateway/AttemptOutcome.h"
#include "Gateway/CallerProtocol.h"
#include "Gateway/EventStreamSplitter.h"
#include "Gateway/GatewayContext.h"
#include "Gateway/ServiceDispatcher.h"
#include "Http/HttpClient.h"

#include <memory>

namespace mangocart {

// What the front has found out about a request.
struct RoutedCall {
  // Keeps m_Route and m_Customer alive.
  RoutingPlanPtr m_Plan;
  const PlannedRoute *m_Route = nullptr;
  // Null: the request needs no key.
  const PlannedCustomer *m_Customer = nullptr;
  std::string m_Service;
  CallerRequest m_Caller;
};

// Lives on the exchange's worker, held by the handlers that it has set.
class DirectRequest : public std::enable_shared_from_this<DirectRequest> {
public:
  static void start(GatewayContext &Context,
                    const std::shared_ptr<HttpExchange> &Exchange,
                    RoutedCall Call);

  DirectRequest(GatewayContext &Context, std::shared_ptr<HttpExchange> Exchange,
                RoutedCall Call);

private:
  // How the answer goes to the caller.
  enum class Passing {
    // Held back until it is whole, so that a failure can be tried again.
    Whole,
    // Event by event.
    Events,
    // Piece by piece: too large to be held back.
    Pieces
  };

  void begin();
  // Asks the gate for a backend server.
  void attempt();
  void onGate(GateAnswer Answer);
  void send();
  GateCall makeGateCall() const;
  HttpCallHandlers makeHandlers();

  void onHead(HttpHead Head);
  void onBody(std::string_view Piece);
  void onEnd();
  void onError(const HttpError &Error);
  void onTimeOver();
  void onCallerGone();
  // Another backend server is tried where the request may be repeated, else
  // the answer is waited for.
  void goElsewhere(std::string_view Detail);
  void watch();

  void passOn(std::string Bytes);
  void noteFirstByte();
  void startAnswer();
  void endAttempt(AttemptEnd End, std::string_view Detail);
  void writeAttemptEnd(AttemptEnd End, std::string_view Detail) const;
  // Counts the attempt as over at the directory.
  void report(CallResult Result);
  void finish(std::string_view Outcome, unsigned Status);
  void giveUp(std::string_view Reason,
              std::optional<Duration> RetryAfter = std::nullopt);
  BackendVerdict verdict() const;
  HttpHead callerHead() const;
  Duration timeLeft() const;
  bool answerIsStream() const;

  GatewayContext &m_Context;
  const std::shared_ptr<HttpExchange> m_Exchange;
  const RoutedCall m_Call;
  const TimePoint m_Arrived;
  // When the caller last got something.
  TimePoint m_Progressed;
  TimePoint m_Deadline;
  Timer m_Timer;
  // Ends an attempt that brings nothing.
  Timer m_PatienceTimer;
  CallSize m_Size;
  RequestKnowledge m_Known;

  // The attempt under way; m_Target is set while the directory counts it.
  std::shared_ptr<HttpCall> m_HttpCall;
  std::optional<BackendTarget> m_Target;
  TimePoint m_Sent;
  // Of the attempt at the watch; 0: not watched.
  std::uint64_t m_Watched = 0;
  // While the gate decides: the call's number there.
  std::optional<std::uint64_t> m_AtGate;
  // Names of backend servers that were tried, in order.
  std::vector<std::string> m_Tried;
  std::string m_FailedZone;

  // The answer: its head, and what is held back of its body.
  HttpHead m_Head;
  bool m_HeadSeen = false;
  // The attempt has brought something for the caller.
  bool m_Brought = false;
  std::string m_Body;
  Passing m_Passing = Passing::Whole;
  EventStreamCutter m_Cutter;
  bool m_AnswerStarted = false;
  std::optional<Duration> m_FirstByte;
  bool m_Finished = false;
};

} // namespace mangocart

#endif
