// Orders between real processes; the stand-in's own record is the judge.
#include "Processes/Deployment.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <sstream>
#include <thread>

using namespace mangocart::test;
using namespace std::chrono_literals;

namespace {

struct Recorded {
  std::string m_Order;
  std::uint64_t m_Number = 0;
};

// The orders that the stand-in carried out, in their order.
std::vector<Recorded> recorded(const Deployment &D, const std::string &Name) {
  std::vector<Recorded> All;
  std::istringstream Lines(D.text("runs/" + Name + ".orders"));
  for (std::string Line; std::getline(Lines, Line);) {
    const boost::json::value Parsed = boost::json::parse(Line);
    All.push_back({std::string(Parsed.at("order").as_string()),
                   Parsed.at("fencing_number").to_number<std::uint64_t>()});
  }
  return All;
}

// A new try repeats the order under its id.
bool carriedOut(const Deployment &D, const std::string &Entry,
                const std::string &Id) {
  return eventually(
      [&] { return D.startOrder(Entry, "engine-1", Id)->wait(Patience) == 0; });
}

// Whether the process has logged the event with the word, for the order "old".
bool hasLogged(const Deployment &D, const std::string &Process,
               const std::string &Event, const std::string &Word) {
  std::istringstream Lines(D.text("logs/" + Process + ".jsonl"));
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.find("\"order\":\"old\"") != std::string::npos &&
        Line.find(Event) != std::string::npos &&
        Line.find(Word) != std::string::npos)
      return true;
  return false;
}

} // namespace

TEST_CASE("an order of a frozen sender isn't carried out after a newer one") {
  Deployment D(138);
  D.start();
  REQUIRE(carriedOut(D, "entry-c2", "first"));
  // The older sender has drawn its number and can't reach the agent.
  D.kill("engine-1");
  const std::string Older = D.leader("entry-c2");
  REQUIRE_FALSE(Older.empty());
  std::vector<std::string> Others = {"entry-a", "entry-b", "entry-c1"};
  Others.erase(std::find(Others.begin(), Others.end(), Older));
  const auto Old = D.startOrder(Older, "engine-1", "old");
  REQUIRE(
      eventually([&] { return hasLogged(D, Older, "OrderSent", "engine-1"); }));
  // It leads and is frozen for longer than its lease; another one leads then.
  D.process(Older).signal(SIGSTOP);
  D.startAgent("engine-1");
  REQUIRE(carriedOut(D, Others.front(), "new"));
  // The agent forgets all that it knew, and only the older sender, which knows
  // of no newer number, is left of the voters.
  D.kill("engine-1");
  for (const std::string &Entry : Others)
    D.kill(Entry);
  D.process(Older).signal(SIGCONT);
  D.startAgent("engine-1");
  CHECK(eventually([&] {
    return hasLogged(D, "engine-1", "OrderNotCarriedOut", "NOT_YET");
  }));
  CHECK(Old->running());
  for (const std::string &Entry : Others)
    D.startEntry(Entry);
  CHECK(Old->wait(Patience) == 1);
  CHECK(D.text("order-old.out").find("old-number") != std::string::npos);
  CHECK(carriedOut(D, Older, "last"));
  std::string Orders;
  const std::vector<Recorded> All = recorded(D, "engine-1");
  for (const Recorded &Each : All)
    Orders += Each.m_Order + " ";
  CHECK(Orders == "first new last ");
  CHECK(std::is_sorted(All.begin(), All.end(),
                       [](const Recorded &A, const Recorded &B) {
                         return A.m_Number < B.m_Number;
                       }));
}
