// Carries out the effects of one settlement: proposes to the log, calls agents,
// revokes, keeps the timer. One driver serves one non-idempotent request, or
// one claim that the leader's settler has taken up.
#ifndef MANGOCART_ENTRY_SETTLEMENTDRIVER_H
#define MANGOCART_ENTRY_SETTLEMENTDRIVER_H

#include "Core/Timer.h"
#include "Entry/BackendDirectory.h"
#include "Entry/CallAttempt.h"
#include "State/Settlement.h"

#include <map>

namespace mangocart {

struct EntryContext;

// What a caller's request adds: how to choose a server and what to send.
struct SettlementCall {
  schema::CallRequest m_Request;
  std::string m_Service;
  std::string m_Policy;
  std::uint32_t m_MaxOutstanding = 0;
};

class SettlementDriver : public std::enable_shared_from_this<SettlementDriver> {
public:
  using AnswerHandler = std::function<void(const AnswerCaller &)>;

  // OnAnswer runs on the executor, once.
  static std::shared_ptr<SettlementDriver>
  startRequest(EntryContext &Context, boost::asio::any_io_executor Executor,
               const SettlementRequest &Request, SettlementCall Call,
               AnswerHandler OnAnswer);
  // Carries out a settlement whose state someone else holds. Step takes each
  // event; Look gives the state, null once it is done.
  using StepFunction =
      std::function<SettlementEffects(const SettlementEvent &)>;
  using LookFunction = std::function<const Settlement *()>;
  static void drive(EntryContext &Context,
                    boost::asio::any_io_executor Executor, StepFunction Step,
                    LookFunction Look, const SettlementEffects &First);

  // On the executor.
  void callerGone() { feed(CallerDisconnected{}); }

private:
  SettlementDriver(EntryContext &Context,
                   boost::asio::any_io_executor Executor);
  void feed(const SettlementEvent &Event);
  // Feeds the event in a later turn, from any thread.
  void post(SettlementEvent Event);
  void carryOutAll(const SettlementEffects &Effects);

  void carryOut(const ChooseTarget &Effect);
  void carryOut(const ProposeClaim &Effect);
  void carryOut(const Dispatch &Effect);
  void carryOut(const SendRevoke &Effect);
  void carryOut(const ProposeSettle &Effect);
  void carryOut(const AnswerCaller &Effect);
  void carryOut(const SetTimer &Effect);
  void carryOut(const Finished &Effect);

  CallHandlers callHandlers(std::uint64_t ClaimNumber,
                            const BackendTarget &Target);
  void noticeReplacement();

  EntryContext &m_Context;
  const boost::asio::any_io_executor m_Executor;
  Timer m_Timer;
  // Used by startRequest() only.
  Settlement m_Own;
  StepFunction m_Step;
  LookFunction m_Look;
  SettlementCall m_Call;
  AnswerHandler m_OnAnswer;
  std::shared_ptr<CallAttempt> m_Attempt;
  // Agents by the name of their backend server, as last chosen.
  std::map<std::string, BackendTarget> m_Targets;
  schema::StoredAnswer m_Answer;
};

} // namespace mangocart

#endif
