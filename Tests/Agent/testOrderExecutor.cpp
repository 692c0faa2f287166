// Checks which orders an agent sends to the backend server and which verdicts
// the sender receives.
#include "Agent/CallGuard.h"
#include "Agent/OrderExecutor.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace mangocart;
using schema::OrderAnswer;

namespace {

using Outcome = BackendOrderResult::Outcome;

struct Step {
  enum class Action { FenceReply, NoMajority, Order, Backend, Restart, Leave };
  Action m_Action = Action::Order;
  std::uint64_t m_Number = 0;
  std::string m_Id;
  // Absent if no answer is expected yet.
  std::optional<OrderAnswer::Verdict> m_Verdict;
  BackendOrderResult m_Result;
  std::string m_Payload;
  std::string m_BackendServer = "engine-1";
};

Step fenceReply(std::uint64_t Number) {
  return {Step::Action::FenceReply, Number};
}
Step order(std::uint64_t Number, std::string Id,
           std::optional<OrderAnswer::Verdict> Verdict = {}) {
  return {Step::Action::Order, Number, std::move(Id), Verdict};
}
Step withOtherContent(Step Base) {
  Base.m_Payload = "other";
  return Base;
}
Step withOtherServer(Step Base) {
  Base.m_BackendServer = "engine-2";
  return Base;
}
// Completes the oldest order in progress at the backend server; the sender of
// Id must receive the verdict.
Step backendResult(std::string Id, OrderAnswer::Verdict Verdict,
                   BackendOrderResult Result = {
                       Outcome::Answered, 200, {}, {}}) {
  return {Step::Action::Backend, 0, std::move(Id), Verdict, std::move(Result)};
}
const Step NoMajority{Step::Action::NoMajority};
const Step Restart{Step::Action::Restart};
const Step Leave{Step::Action::Leave};

class ExecutorFixture {
public:
  explicit ExecutorFixture(bool ChecksNumbers)
      : m_ChecksFencingNumbers(ChecksNumbers) {
    restart();
  }

  void run(const Step &Next) {
    schema::FenceReply Reply;
    Reply.set_answered(Next.m_Action == Step::Action::FenceReply);
    Reply.set_fencing_number(Next.m_Number);
    m_Answers.clear();
    switch (Next.m_Action) {
    case Step::Action::FenceReply:
    case Step::Action::NoMajority:
      CHECK(m_Executor->recordFenceReply(Reply) == Reply.answered());
      return;
    case Step::Action::Restart:
      return restart();
    case Step::Action::Leave:
      return m_Executor->startLeaving();
    case Step::Action::Order:
      submit(Next);
      break;
    case Step::Action::Backend: {
      REQUIRE_FALSE(m_InProgress.empty());
      const auto OnResult = m_InProgress.front();
      m_InProgress.erase(m_InProgress.begin());
      OnResult(Next.m_Result);
      break;
    }
    }
    const auto Found = m_Answers.find(Next.m_Id);
    REQUIRE((Found != m_Answers.end()) == Next.m_Verdict.has_value());
    if (!Next.m_Verdict)
      return;
    CHECK(OrderAnswer::Verdict_Name(Found->second.verdict()) ==
          OrderAnswer::Verdict_Name(*Next.m_Verdict));
    CHECK(OrderAnswer().ParseFromString(Found->second.SerializeAsString()));
  }

  // Fencing numbers in the order in which the backend server received them.
  std::vector<std::uint64_t> m_SentNumbers;

private:
  void restart() {
    m_Executor.reset();
    m_Guard.emplace(1, GuardLimits());
    m_InProgress.clear();
    m_Executor.emplace("engine-1", *m_Guard,
                       OrderExecutor::Backend{
                           [this] { return m_ChecksFencingNumbers; },
                           [this](const schema::Order &Order, auto OnResult) {
                             m_SentNumbers.push_back(Order.fencing_number());
                             m_InProgress.push_back(std::move(OnResult));
                           }});
  }
  void submit(const Step &Next) {
    schema::Order Order;
    Order.set_backend_server(Next.m_BackendServer);
    Order.set_order_id(Next.m_Id);
    Order.set_fencing_number(Next.m_Number);
    Order.set_kind(schema::Order::LOAD);
    Order.set_payload(Next.m_Payload);
    m_Executor->execute(Order,
                        [this, Id = Next.m_Id](const OrderAnswer &Answer) {
                          m_Answers[Id] = Answer;
                        });
  }

  const bool m_ChecksFencingNumbers;
  std::optional<CallGuard> m_Guard;
  std::optional<OrderExecutor> m_Executor;
  std::vector<OrderExecutor::ResultHandler> m_InProgress;
  std::map<std::string, OrderAnswer> m_Answers;
};

} // namespace

TEST_CASE("orders are fenced, deduplicated and answered") {
  constexpr auto Done = OrderAnswer::CARRIED_OUT;
  constexpr auto Old = OrderAnswer::OLD_NUMBER;
  constexpr auto NotYet = OrderAnswer::NOT_YET;
  constexpr auto Doubt = OrderAnswer::IN_DOUBT;
  constexpr auto Wrong = OrderAnswer::WRONG_ORDER;
  const BackendOrderResult Lost{Outcome::Lost, 0, {}, {}};
  const BackendOrderResult NeverSent{Outcome::NeverSent, 0, {}, {}};
  const BackendOrderResult ServerError{Outcome::Answered, 500, {}, {}};
  const BackendOrderResult OldAtBackend{Outcome::Answered, 409, 12, {}};
  const BackendOrderResult NotUtf8{Outcome::Answered, 200, {}, "caf\xe9"};
  // A character of two bytes at the place where the text is cut.
  BackendOrderResult TooLong{Outcome::Answered, 200, {}, {}};
  TooLong.m_Detail.assign(255, 'a').append("\xc3\xa9");
  struct Row {
    const char *m_Name;
    bool m_ChecksFencingNumbers;
    std::vector<Step> m_Steps;
    std::vector<std::uint64_t> m_SentNumbers;
  };
  const Row Rows[] = {
      {"no fencing number known", false, {order(9, "a", NotYet)}, {}},
      {"the backend's text isn't UTF-8",
       false,
       {fenceReply(9), order(9, "a"), backendResult("a", Done, NotUtf8),
        order(9, "a", Done)},
       {9}},
      {"the backend's text is cut within a character",
       false,
       {fenceReply(9), order(9, "a"), backendResult("a", Done, TooLong)},
       {9}},
      {"no fencing number known, backend checks numbers",
       true,
       {order(9, "a", NotYet)},
       {}},
      {"no majority for the fencing number",
       false,
       {NoMajority, order(9, "a", NotYet)},
       {}},
      {"old number", false, {fenceReply(9), order(8, "a", Old)}, {}},
      {"old number, backend checks numbers",
       true,
       {fenceReply(9), order(8, "a", Old)},
       {}},
      {"current number",
       false,
       {fenceReply(9), order(9, "a"), backendResult("a", Done)},
       {9}},
      {"no number assigned yet", false, {fenceReply(0), order(9, "a")}, {9}},
      {"newer number, then an old one",
       false,
       {fenceReply(9), order(12, "a"), backendResult("a", Done),
        order(11, "b", Old)},
       {12}},
      {"resent after completion: same answer",
       false,
       {fenceReply(9), order(9, "a"), backendResult("a", Done),
        order(9, "a", Done)},
       {9}},
      {"resent with a newer number",
       false,
       {fenceReply(9), order(9, "a"), backendResult("a", Done),
        order(11, "a", Done)},
       {9}},
      {"resent while in progress",
       false,
       {fenceReply(9), order(9, "a"), order(9, "a"), backendResult("a", Done)},
       {9}},
      {"same number, different order",
       false,
       {fenceReply(9), order(9, "a"), backendResult("a", Done), order(9, "b")},
       {9, 9}},
      {"same id, different content",
       false,
       {fenceReply(9), order(9, "a"), withOtherContent(order(9, "a", Wrong))},
       {9}},
      {"after a restart",
       false,
       {fenceReply(9), order(12, "a"), backendResult("a", Done), Restart,
        order(12, "a", NotYet), order(9, "b", NotYet), fenceReply(12),
        order(9, "b", Old), order(13, "c")},
       {12, 13}},
      {"lower number reported late",
       false,
       {fenceReply(9), order(12, "a"), backendResult("a", Done), fenceReply(9),
        order(10, "b", Old)},
       {12}},
      {"numbers reported out of order",
       false,
       {fenceReply(9), fenceReply(7), order(8, "a", Old)},
       {}},
      {"a newer order waits for the order in flight",
       false,
       {fenceReply(9), order(9, "a"), order(10, "b", NotYet),
        order(9, "c", Old), backendResult("a", Done), order(10, "b")},
       {9, 10}},
      {"no waiting if the backend checks numbers",
       true,
       {fenceReply(9), order(9, "a"), order(10, "b"), backendResult("a", Done)},
       {9, 10}},
      {"rejected as old by the backend server",
       true,
       {fenceReply(9), order(9, "a"), backendResult("a", Old, OldAtBackend)},
       {9}},
      {"never sent, then sent again",
       false,
       {fenceReply(9), order(9, "a"), backendResult("a", NotYet, NeverSent),
        order(9, "a")},
       {9, 9}},
      {"answer lost: order not sent again",
       false,
       {fenceReply(9), order(9, "a"), backendResult("a", Doubt, Lost),
        order(9, "a", Doubt)},
       {9}},
      {"refused by the backend server",
       false,
       {fenceReply(9), order(9, "a"),
        backendResult("a", OrderAnswer::REFUSED, ServerError)},
       {9}},
      {"agent draining",
       false,
       {fenceReply(9), Leave, order(9, "a", NotYet)},
       {}},
      {"order for another backend server",
       false,
       {fenceReply(9), withOtherServer(order(9, "a", Wrong))},
       {}},
  };
  for (const Row &Each : Rows) {
    INFO(Each.m_Name);
    ExecutorFixture Agent(Each.m_ChecksFencingNumbers);
    for (const Step &Next : Each.m_Steps)
      Agent.run(Next);
    CHECK(Agent.m_SentNumbers == Each.m_SentNumbers);
    CHECK(
        std::is_sorted(Agent.m_SentNumbers.begin(), Agent.m_SentNumbers.end()));
  }
}
