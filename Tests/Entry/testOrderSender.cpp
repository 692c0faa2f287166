// Tests how often an order is sent, with which fencing number, and which result
// is reported.
#include "Entry/OrderSender.h"
#include "Raft/ReplicatedLog.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;
using schema::OrderAnswer;

namespace {

// Allocates the numbers 7, 8, ..., or fails without a majority.
class FakeLog : public ReplicatedLog {
public:
  void propose(schema::Command Command, Duration /*Timeout*/,
               ProposeHandler Done) override {
    CHECK(Command.fence_for() == "engine-1");
    if (!m_HasMajority)
      return Done(ProposeError{ProposeErrorCode::NoQuorum, "no majority"});
    schema::CommandReply Reply;
    Reply.set_fencing_number(m_Next++);
    Done(Reply);
  }
  std::string leader() const override { return {}; }

  bool m_HasMajority = true;
  std::uint64_t m_Next = 7;
};

using Reply = Result<std::string, PeerError>;

Reply says(OrderAnswer::Verdict Verdict, Duration RetryAfter = 1ms) {
  OrderAnswer Answer;
  Answer.set_verdict(Verdict);
  Answer.set_retry_after_ms(static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(RetryAfter)
          .count()));
  return Answer.SerializeAsString();
}

Reply lost(bool NothingSent) {
  return PeerError{PeerErrorCode::ConnectionLost, "lost", NothingSent};
}

} // namespace

TEST_CASE(
    "an order is sent with one fencing number until its answer is final") {
  struct Row {
    const char *m_Name;
    std::vector<Reply> m_Replies;
    OrderAnswer::Verdict m_Verdict;
    schema::Outcome m_Outcome;
    Duration m_Longest = 1min;
  };
  const Row Rows[] = {
      {"carried out",
       {says(OrderAnswer::CARRIED_OUT)},
       OrderAnswer::CARRIED_OUT,
       schema::RAN},
      {"deferred, then carried out",
       {says(OrderAnswer::NOT_YET), says(OrderAnswer::NOT_YET),
        says(OrderAnswer::CARRIED_OUT)},
       OrderAnswer::CARRIED_OUT,
       schema::RAN},
      {"old: never resent with another number",
       {says(OrderAnswer::OLD_NUMBER)},
       OrderAnswer::OLD_NUMBER,
       schema::NOT_RUN},
      {"agent unreachable, then old",
       {lost(true), says(OrderAnswer::OLD_NUMBER)},
       OrderAnswer::OLD_NUMBER,
       schema::NOT_RUN},
      {"answer lost, then old: it may have been carried out",
       {lost(false), says(OrderAnswer::OLD_NUMBER)},
       OrderAnswer::OLD_NUMBER,
       schema::UNKNOWN},
      {"in doubt at the agent",
       {says(OrderAnswer::IN_DOUBT)},
       OrderAnswer::IN_DOUBT,
       schema::UNKNOWN},
      {"refused by the backend server",
       {says(OrderAnswer::REFUSED)},
       OrderAnswer::REFUSED,
       schema::NOT_RUN},
      {"deferred beyond the deadline",
       {says(OrderAnswer::NOT_YET, 2min)},
       OrderAnswer::NOT_YET,
       schema::NOT_RUN},
      {"agent unreachable until the deadline",
       {lost(true)},
       OrderAnswer::NOT_YET,
       schema::NOT_RUN,
       100ms},
      {"answer lost and no time left",
       {lost(false)},
       OrderAnswer::IN_DOUBT,
       schema::UNKNOWN,
       100ms},
      {"no majority: nothing is sent",
       {},
       OrderAnswer::NOT_YET,
       schema::NOT_RUN},
  };
  for (const Row &Each : Rows) {
    INFO(Each.m_Name);
    boost::asio::io_context Worker;
    FakeLog Log;
    Log.m_HasMajority = !Each.m_Replies.empty();
    std::size_t Sent = 0;
    std::optional<OrderEnd> End;
    OrderRequest Request;
    Request.m_Order.set_backend_server("engine-1");
    Request.m_Longest = Each.m_Longest;
    OrderSender::start({Log, [] { return PeerEndpoint(); },
                        [&](const PeerEndpoint &, const schema::Order &Order,
                            Duration, const PeerClient::UnaryHandler &Done) {
                          CHECK(Order.fencing_number() == 7);
                          REQUIRE(Sent < Each.m_Replies.size());
                          Done(Each.m_Replies[Sent++]);
                        },
                        Worker.get_executor()},
                       Request, [&](const OrderEnd &Got) { End = Got; });
    Worker.run();
    REQUIRE(End);
    CHECK(Sent == Each.m_Replies.size());
    CHECK(End->m_Answer.verdict() == Each.m_Verdict);
    CHECK(End->m_Outcome == Each.m_Outcome);
    CHECK(End->m_FencingNumber == (Log.m_HasMajority ? 7 : 0));
  }
}
