// Executes the effects of one settlement: proposes to the log, calls agents,
// revokes, manages the timer. One driver serves one non-idempotent request, or
// one claim taken over by the settler of the leader.
#ifndef MANGOCART_ENTRY_SETTLEMENTDRIVER_H
#define MANGOCART_ENTRY_SETTLEMENTDRIVER_H

#include "Core/Timer.h"
#include "Entry/BackendDirectory.h"
#include "Entry/CallAttempt.h"
#include "State/Settlement.h"

#include <map>

namespace mangocart {

struct EntryContext;

// Parameters of a caller's request: how to select a server and what to send.
struct SettlementCall {
  schema::CallRequest m_Request;
  std::string m_Service;
  std::string m_Policy;
  std::uint32_t m_MaxOutstanding = 0;
};

class SettlementDriver : public std::enable_shared_from_this<SettlementDriver> {
public:
  using AnswerHandler = std::function<void(const AnswerCaller &)>;

  // OnAnswer is called exactly once, on the executor.
  static std::shared_ptr<SettlementDriver>
  startRequest(EntryContext &Context, boost::asio::any_io_executor Executor,
               const SettlementRequest &Request, SettlementCall Call,
               AnswerHandler OnAnswer);
  // Drives a settlement whose state is held elsewhere. Step applies an event;
  // GetState returns the state, or null once the settlement is finished.
  using StepFunction =
      std::function<SettlementEffects(const SettlementEvent &)>;
  using StateFunction = std::function<const Settlement *()>;
  static void drive(EntryContext &Context,
                    boost::asio::any_io_executor Executor, StepFunction Step,
                    StateFunction GetState, const SettlementEffects &First);

  // Must be called on the executor.
  void callerDisconnected() { feed(CallerGone{}); }

private:
  SettlementDriver(EntryContext &Context,
                   boost::asio::any_io_executor Executor);
  void feed(const SettlementEvent &Event);
  // Posts the event to the executor; may be called from any thread.
  void post(SettlementEvent Event);
  void executeAll(const SettlementEffects &Effects);

  void execute(const ChooseTarget &Effect);
  void execute(const ProposeClaim &Effect);
  void execute(const Dispatch &Effect);
  void execute(const SendRevoke &Effect);
  void execute(const ProposeSettle &Effect);
  void execute(const AnswerCaller &Effect);
  void execute(const WakeAt &Effect);
  void execute(const Finished &Effect);

  CallHandlers callHandlers(std::uint64_t ClaimNumber,
                            const BackendTarget &Target);
  void checkReplacement();

  EntryContext &m_Context;
  const boost::asio::any_io_executor m_Executor;
  Timer m_Timer;
  // Used by startRequest() only.
  Settlement m_OwnSettlement;
  StepFunction m_Step;
  StateFunction m_GetState;
  SettlementCall m_Call;
  AnswerHandler m_OnAnswer;
  std::shared_ptr<CallAttempt> m_Attempt;
  // Agents by the name of their backend server, as last selected.
  std::map<std::string, BackendTarget> m_Targets;
  schema::StoredAnswer m_Answer;
};

} // namespace mangocart

#endif
