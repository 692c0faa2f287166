// Fencing of orders between real processes, verified against the order log of
// the simulated backend server.
#include "Processes/Deployment.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <sstream>
#include <thread>

using namespace mangocart::test;
using namespace std::chrono_literals;

namespace {

struct RecordedOrder {
  std::string m_Order;
  std::uint64_t m_FencingNumber = 0;
};

// Returns the executed orders from the backend server's order log, in order.
std::vector<RecordedOrder> recordedOrders(const Deployment &D,
                                          const std::string &Name) {
  std::vector<RecordedOrder> All;
  std::istringstream Lines(D.fileText("runs/" + Name + ".orders"));
  for (std::string Line; std::getline(Lines, Line);) {
    const boost::json::value Parsed = boost::json::parse(Line);
    All.push_back({std::string(Parsed.at("order").as_string()),
                   Parsed.at("fencing_number").to_number<std::uint64_t>()});
  }
  return All;
}

// Retries the order with the same id until it is executed.
bool executeOrder(const Deployment &D, const std::string &Entry,
                  const std::string &Id) {
  return eventually([&] {
    return D.startOrder(Entry, "engine-1", Id)->wait(DefaultTimeout) == 0;
  });
}

// Returns whether the process logged the event with the text for the order
// "old".
bool hasLogged(const Deployment &D, const std::string &Process,
               const std::string &Event, const std::string &Text) {
  std::istringstream Lines(D.fileText("logs/" + Process + ".jsonl"));
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.find("\"order\":\"old\"") != std::string::npos &&
        Line.find(Event) != std::string::npos &&
        Line.find(Text) != std::string::npos)
      return true;
  return false;
}

} // namespace

TEST_CASE("an order of a paused sender isn't executed after a newer order") {
  Deployment D(138);
  D.start();
  REQUIRE(executeOrder(D, "entry-c2", "first"));
  // The old leader has allocated a fencing number but can't reach the agent.
  D.kill("engine-1");
  const std::string OldLeader = D.leader("entry-c2");
  REQUIRE_FALSE(OldLeader.empty());
  std::vector<std::string> Others = {"entry-a", "entry-b", "entry-c1"};
  Others.erase(std::find(Others.begin(), Others.end(), OldLeader));
  const auto OldOrder = D.startOrder(OldLeader, "engine-1", "old");
  REQUIRE(eventually(
      [&] { return hasLogged(D, OldLeader, "OrderSent", "engine-1"); }));
  // The leader is paused for longer than its lease, so another one is elected.
  D.process(OldLeader).signal(SIGSTOP);
  D.startAgent("engine-1");
  REQUIRE(executeOrder(D, Others.front(), "new"));
  // The agent is restarted and loses its state. The only remaining voter is the
  // old leader, which doesn't know the newer fencing number.
  D.kill("engine-1");
  for (const std::string &Entry : Others)
    D.kill(Entry);
  D.process(OldLeader).signal(SIGCONT);
  D.startAgent("engine-1");
  CHECK(eventually([&] {
    return hasLogged(D, "engine-1", "OrderNotCarriedOut", "NOT_YET");
  }));
  CHECK(OldOrder->isRunning());
  for (const std::string &Entry : Others)
    D.startEntry(Entry);
  CHECK(OldOrder->wait(DefaultTimeout) == 1);
  CHECK(D.fileText("order-old.out").find("old-number") != std::string::npos);
  CHECK(executeOrder(D, OldLeader, "last"));
  std::string Orders;
  const std::vector<RecordedOrder> All = recordedOrders(D, "engine-1");
  for (const RecordedOrder &Each : All)
    Orders += Each.m_Order + " ";
  CHECK(Orders == "first new last ");
  CHECK(std::is_sorted(All.begin(), All.end(),
                       [](const RecordedOrder &A, const RecordedOrder &B) {
                         return A.m_FencingNumber < B.m_FencingNumber;
                       }));
}
