// An agent's decisions about orders: what reaches the backend server, and what
// the sender is told.
#include "Agent/CallGuard.h"
#include "Agent/OrderDesk.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace mangocart;
using schema::OrderAnswer;

namespace {

using End = BackendOrderResult::End;

struct Step {
  enum class Do { Learn, NoMajority, Order, Backend, Restart, Leave };
  Do m_Do = Do::Order;
  std::uint64_t m_Number = 0;
  std::string m_Id;
  // Absent: no answer yet.
  std::optional<OrderAnswer::Verdict> m_Verdict;
  BackendOrderResult m_Result;
  std::string m_Payload;
  std::string m_BackendServer = "engine-1";
};

Step learn(std::uint64_t Number) { return {Step::Do::Learn, Number}; }
Step order(std::uint64_t Number, std::string Id,
           std::optional<OrderAnswer::Verdict> Verdict = {}) {
  return {Step::Do::Order, Number, std::move(Id), Verdict};
}
Step otherContent(Step Given) {
  Given.m_Payload = "other";
  return Given;
}
Step otherServer(Step Given) {
  Given.m_BackendServer = "engine-2";
  return Given;
}
// The backend server's oldest order in progress ends; the id's sender learns.
Step ends(std::string Id, OrderAnswer::Verdict Verdict,
          BackendOrderResult Result = {End::Answered, 200, {}, {}}) {
  return {Step::Do::Backend, 0, std::move(Id), Verdict, std::move(Result)};
}
const Step NoMajority{Step::Do::NoMajority};
const Step Restart{Step::Do::Restart};
const Step Leave{Step::Do::Leave};

class World {
public:
  explicit World(bool ChecksNumbers) : m_ChecksNumbers(ChecksNumbers) {
    restart();
  }

  void take(const Step &Each) {
    schema::FenceReply Reply;
    Reply.set_answered(Each.m_Do == Step::Do::Learn);
    Reply.set_fencing_number(Each.m_Number);
    m_Answers.clear();
    switch (Each.m_Do) {
    case Step::Do::Learn:
    case Step::Do::NoMajority:
      CHECK(m_Desk->learn(Reply) == Reply.answered());
      return;
    case Step::Do::Restart:
      return restart();
    case Step::Do::Leave:
      return m_Desk->startLeaving();
    case Step::Do::Order:
      give(Each);
      break;
    case Step::Do::Backend: {
      REQUIRE_FALSE(m_Working.empty());
      const auto Done = m_Working.front();
      m_Working.erase(m_Working.begin());
      Done(Each.m_Result);
      break;
    }
    }
    const auto Found = m_Answers.find(Each.m_Id);
    REQUIRE((Found != m_Answers.end()) == Each.m_Verdict.has_value());
    if (Each.m_Verdict)
      CHECK(OrderAnswer::Verdict_Name(Found->second.verdict()) ==
            OrderAnswer::Verdict_Name(*Each.m_Verdict));
  }

  // Numbers in the order in which the backend server got them.
  std::vector<std::uint64_t> m_Sent;

private:
  void restart() {
    m_Desk.reset();
    m_Guard.emplace(1, GuardLimits());
    m_Working.clear();
    m_Desk.emplace(
        "engine-1", *m_Guard,
        OrderDesk::Backend{[this] { return m_ChecksNumbers; },
                           [this](const schema::Order &Order, auto Done) {
                             m_Sent.push_back(Order.fencing_number());
                             m_Working.push_back(std::move(Done));
                           }});
  }
  void give(const Step &Each) {
    schema::Order Order;
    Order.set_backend_server(Each.m_BackendServer);
    Order.set_order_id(Each.m_Id);
    Order.set_fencing_number(Each.m_Number);
    Order.set_kind(schema::Order::LOAD);
    Order.set_payload(Each.m_Payload);
    m_Desk->take(Order, [this, Id = Each.m_Id](const OrderAnswer &Answer) {
      m_Answers[Id] = Answer;
    });
  }

  const bool m_ChecksNumbers;
  std::optional<CallGuard> m_Guard;
  std::optional<OrderDesk> m_Desk;
  std::vector<OrderDesk::ResultHandler> m_Working;
  std::map<std::string, OrderAnswer> m_Answers;
};

} // namespace

TEST_CASE("what an agent does with an order") {
  constexpr auto Done = OrderAnswer::CARRIED_OUT;
  constexpr auto Old = OrderAnswer::OLD_NUMBER;
  constexpr auto NotYet = OrderAnswer::NOT_YET;
  constexpr auto Doubt = OrderAnswer::IN_DOUBT;
  constexpr auto Wrong = OrderAnswer::WRONG_ORDER;
  const BackendOrderResult Lost{End::Lost, 0, {}, {}};
  const BackendOrderResult NeverSent{End::NeverSent, 0, {}, {}};
  const BackendOrderResult No{End::Answered, 500, {}, {}};
  const BackendOrderResult OldThere{End::Answered, 409, 12, {}};
  struct Row {
    const char *m_Name;
    bool m_ChecksNumbers;
    std::vector<Step> m_Steps;
    std::vector<std::uint64_t> m_Sent;
  };
  const Row Rows[] = {
      {"before learning", false, {order(9, "a", NotYet)}, {}},
      {"before learning, numbers checked", true, {order(9, "a", NotYet)}, {}},
      {"majority missing", false, {NoMajority, order(9, "a", NotYet)}, {}},
      {"old", false, {learn(9), order(8, "a", Old)}, {}},
      {"old, numbers checked", true, {learn(9), order(8, "a", Old)}, {}},
      {"in force", false, {learn(9), order(9, "a"), ends("a", Done)}, {9}},
      {"none drawn yet", false, {learn(0), order(9, "a")}, {9}},
      {"newer, then old",
       false,
       {learn(9), order(12, "a"), ends("a", Done), order(11, "b", Old)},
       {12}},
      {"resent: the first answer",
       false,
       {learn(9), order(9, "a"), ends("a", Done), order(9, "a", Done)},
       {9}},
      {"resent under a newer number",
       false,
       {learn(9), order(9, "a"), ends("a", Done), order(11, "a", Done)},
       {9}},
      {"resent while it runs",
       false,
       {learn(9), order(9, "a"), order(9, "a"), ends("a", Done)},
       {9}},
      {"same number, other order",
       false,
       {learn(9), order(9, "a"), ends("a", Done), order(9, "b")},
       {9, 9}},
      {"same id, other content",
       false,
       {learn(9), order(9, "a"), otherContent(order(9, "a", Wrong))},
       {9}},
      {"after a restart",
       false,
       {learn(9), order(12, "a"), ends("a", Done), Restart,
        order(12, "a", NotYet), order(9, "b", NotYet), learn(12),
        order(9, "b", Old), order(13, "c")},
       {12, 13}},
      {"learnt late and lower",
       false,
       {learn(9), order(12, "a"), ends("a", Done), learn(9),
        order(10, "b", Old)},
       {12}},
      {"learnt out of order",
       false,
       {learn(9), learn(7), order(8, "a", Old)},
       {}},
      {"a newer one waits for the older on its way",
       false,
       {learn(9), order(9, "a"), order(10, "b", NotYet), order(9, "c", Old),
        ends("a", Done), order(10, "b")},
       {9, 10}},
      {"where numbers are checked it doesn't wait",
       true,
       {learn(9), order(9, "a"), order(10, "b"), ends("a", Done)},
       {9, 10}},
      {"refused as old by the backend server",
       true,
       {learn(9), order(9, "a"), ends("a", Old, OldThere)},
       {9}},
      {"never sent, then resent",
       false,
       {learn(9), order(9, "a"), ends("a", NotYet, NeverSent), order(9, "a")},
       {9, 9}},
      {"answer lost: not sent again",
       false,
       {learn(9), order(9, "a"), ends("a", Doubt, Lost), order(9, "a", Doubt)},
       {9}},
      {"the backend server says no",
       false,
       {learn(9), order(9, "a"), ends("a", OrderAnswer::REFUSED, No)},
       {9}},
      {"leaving", false, {learn(9), Leave, order(9, "a", NotYet)}, {}},
      {"for another", false, {learn(9), otherServer(order(9, "a", Wrong))}, {}},
  };
  for (const Row &Each : Rows) {
    INFO(Each.m_Name);
    World Agent(Each.m_ChecksNumbers);
    for (const Step &Next : Each.m_Steps)
      Agent.take(Next);
    CHECK(Agent.m_Sent == Each.m_Sent);
    CHECK(std::is_sorted(Agent.m_Sent.begin(), Agent.m_Sent.end()));
  }
}
