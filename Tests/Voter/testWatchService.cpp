// The confirmations of a voter's watchers, whose streams are fakes. Guards
// against acknowledged departures that nobody but the voter knows, and that are
// lost with it.
#include "Entry/MembershipDirectory.h"
#include "Events/EventLog.h"
#include "Voter/ChangeConfirmation.h"
#include "Voter/DocumentMachine.h"
#include "Voter/WatchService.h"
#include "Watch.pb.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <utility>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

// The stream of a watcher, which confirms when the test says so.
class FakeWatcher : public PeerStream {
public:
  FakeWatcher(boost::asio::io_context &Context, std::string Name,
              WatcherKind Kind)
      : m_Context(Context), m_Name(std::move(Name)), m_Kind(Kind) {}

  boost::asio::any_io_executor executor() override {
    return m_Context.get_executor();
  }
  void setHandlers(PeerStreamHandlers Handlers) override {
    m_Handlers = std::move(Handlers);
  }
  void send(std::string Message) override {
    schema::WatchUpdate Update;
    REQUIRE(Update.ParseFromString(Message));
    m_Records += static_cast<std::size_t>(Update.records_size());
    m_Requested = std::max(m_Requested, Update.confirm_change());
  }
  void finish() override {}
  void reset() override {}
  std::size_t queuedBytes() const override { return 0; }
  void onDrained(std::function<void()>) override {}
  void pauseReading() override {}
  void resumeReading() override {}

  void hello(bool Confirms = true) {
    schema::WatchHello Hello;
    Hello.set_watcher(m_Name);
    Hello.set_kind(m_Kind == WatcherKind::Voter ? schema::WatchHello::VOTER
                   : m_Kind == WatcherKind::Gateway
                       ? schema::WatchHello::GATEWAY
                       : schema::WatchHello::BALANCER);
    Hello.set_confirms_changes(Confirms);
    m_Handlers.m_OnMessage(Hello.SerializeAsString());
  }
  void confirm(std::uint64_t Change) {
    schema::WatchConfirmation Confirmation;
    Confirmation.set_change(Change);
    m_Handlers.m_OnMessage(Confirmation.SerializeAsString());
  }
  void end() { m_Handlers.m_OnEnd(); }

  boost::asio::io_context &m_Context;
  const std::string m_Name;
  const WatcherKind m_Kind;
  PeerStreamHandlers m_Handlers;
  // Number of records received, and the last change to be confirmed.
  std::size_t m_Records = 0;
  std::uint64_t m_Requested = 0;
};

struct Fixture {
  explicit Fixture(std::size_t RequiredVoters = 1)
      : m_RequiredVoters(RequiredVoters) {
    RuntimeClock::pause();
  }
  ~Fixture() { RuntimeClock::resume(); }

  std::shared_ptr<FakeWatcher> add(const std::string &Name, WatcherKind Kind,
                                   bool Confirms = true) {
    auto Added = std::make_shared<FakeWatcher>(m_Context, Name, Kind);
    m_Service->accept(Added);
    Added->hello(Confirms);
    run();
    return Added;
  }

  void announce(const std::string &Server, MemberState State) {
    Member Record;
    Record.m_BackendServer = Server;
    Record.m_State = State;
    Record.m_Incarnation = 7;
    m_Directory.announced(Record);
  }

  // A backend server that has left; the change waits for confirmations.
  void leave() {
    announce("a", MemberState::Serving);
    run();
    announce("a", MemberState::Left);
    m_Change = m_Directory.changeNumber("a");
    m_Service->confirmChange(
        m_Change,
        [this](const Result<void, std::string> &Done) { m_Result = Done; });
    run();
  }

  // Runs what is due, but no timer that isn't.
  void run() {
    m_Context.restart();
    m_Context.poll();
  }
  void advance(Duration By) {
    RuntimeClock::advance(By);
    m_Context.restart();
    m_Context.run_for(20ms);
  }
  // The voter's disk finishes the write, or refuses it.
  void store(const Result<void, std::string> &Outcome = success()) {
    for (const ConfirmationHandler &Each : std::exchange(m_Writes, {}))
      Each(Outcome);
  }
  bool isConfirmed() const { return m_Result && m_Result->has_value(); }

  std::size_t m_RequiredVoters;
  // Writes that the voter's disk has not finished; it finishes them at once
  // unless it is slow.
  bool m_IsDiskSlow = false;
  std::vector<ConfirmationHandler> m_Writes;
  boost::asio::io_context m_Context;
  EventLog m_Events{{"voter", "v1", "a"}, "/dev/null"};
  DocumentMachine m_Machine;
  MembershipDirectory m_Directory{m_Events, "a", 1, 1};
  MembershipDirectory m_AllAnnouncements{m_Events, "a", 1, 1};
  std::shared_ptr<WatchService> m_Service = std::make_shared<WatchService>(
      m_Context, WatchServiceDependencies{
                     m_Events, m_Machine, m_Directory, m_AllAnnouncements,
                     [] { return std::vector<std::string>(); }, "a",
                     [] { return true; }, [this] { return m_RequiredVoters; },
                     [this](ConfirmationHandler Done) {
                       m_Writes.push_back(std::move(Done));
                       if (!m_IsDiskSlow)
                         store();
                     }});
  std::uint64_t m_Change = 0;
  std::optional<Result<void, std::string>> m_Result;
};

} // namespace

TEST_CASE("a departure is confirmed by all voters and gateways, in any order") {
  std::vector<std::size_t> Order = {0, 1, 2};
  do {
    Fixture F;
    F.add("b", WatcherKind::Balancer);
    const std::vector<std::shared_ptr<FakeWatcher>> Watchers = {
        F.add("v2", WatcherKind::Voter), F.add("v3", WatcherKind::Voter),
        F.add("g1", WatcherKind::Gateway)};
    F.leave();
    for (const std::size_t Next : Order) {
      CHECK_FALSE(F.m_Result);
      REQUIRE(Watchers[Next]->m_Requested == F.m_Change);
      Watchers[Next]->confirm(F.m_Change);
      F.run();
    }
    CHECK(F.isConfirmed());
  } while (std::next_permutation(Order.begin(), Order.end()));
}

TEST_CASE("an earlier change that is confirmed doesn't confirm a departure") {
  Fixture F;
  const auto Voter = F.add("v2", WatcherKind::Voter);
  F.leave();
  Voter->confirm(F.m_Change - 1);
  F.run();
  CHECK_FALSE(F.m_Result);
  // A watcher can't confirm what it wasn't sent.
  F.announce("b", MemberState::Left);
  F.m_Result.reset();
  Voter->confirm(F.m_Change + 100);
  F.run();
  CHECK(F.isConfirmed());
}

TEST_CASE("a suspended gateway or voter holds up a departure for 200 ms") {
  const WatcherKind Kind = GENERATE(WatcherKind::Voter, WatcherKind::Gateway);
  Fixture F;
  F.add("suspended", Kind);
  const auto Voter = F.add("v2", WatcherKind::Voter);
  F.leave();
  Voter->confirm(F.m_Change);
  F.run();
  F.advance(199ms);
  CHECK_FALSE(F.m_Result);
  F.advance(1ms);
  CHECK(F.isConfirmed());
}

// Guards against acknowledged departures that all voters forget at a restart.
TEST_CASE("a departure is acknowledged only once it is on this voter's disk") {
  Fixture F;
  F.m_IsDiskSlow = true;
  const auto Voter = F.add("v2", WatcherKind::Voter);
  F.leave();
  SECTION("the disk is slower than the watchers") {
    Voter->confirm(F.m_Change);
    F.run();
    CHECK_FALSE(F.m_Result);
    F.store();
    CHECK(F.isConfirmed());
  }
  SECTION("the watchers are slower than the disk") {
    F.store();
    CHECK_FALSE(F.m_Result);
    Voter->confirm(F.m_Change);
    F.run();
    CHECK(F.isConfirmed());
  }
  SECTION("the disk is full") {
    F.store("no space");
    REQUIRE(F.m_Result);
    CHECK(F.m_Result->error() == "no space");
    F.m_Result.reset();
    // The call comes again once there is space.
    F.leave();
    Voter->confirm(F.m_Change);
    F.run();
    F.store();
    CHECK(F.isConfirmed());
  }
  SECTION("the disk stalls") {
    Voter->confirm(F.m_Change);
    F.advance(899ms);
    CHECK_FALSE(F.m_Result);
    F.advance(2ms);
    REQUIRE(F.m_Result);
    CHECK_FALSE(F.isConfirmed());
    // Nothing waits for the write any more.
    F.store();
    CHECK_FALSE(F.isConfirmed());
  }
}

TEST_CASE("a departure that no other voter confirms is refused in time") {
  Fixture F;
  F.add("v2", WatcherKind::Voter);
  const auto Gateway = F.add("g1", WatcherKind::Gateway);
  F.leave();
  Gateway->confirm(F.m_Change);
  F.run();
  F.advance(899ms);
  CHECK_FALSE(F.m_Result);
  F.advance(1ms);
  REQUIRE(F.m_Result);
  CHECK(F.m_Result->has_error());
}

TEST_CASE("a departure is refused at once if too few voters are connected") {
  Fixture F(2);
  F.add("g1", WatcherKind::Gateway);
  F.add("v2", WatcherKind::Voter);
  SECTION("from the start") {}
  SECTION("after one was lost") {
    const auto Lost = F.add("v3", WatcherKind::Voter);
    F.leave();
    CHECK_FALSE(F.m_Result);
    Lost->end();
    F.run();
  }
  SECTION("although one is connected twice") {
    F.add("v2", WatcherKind::Voter);
  }
  if (!F.m_Result)
    F.leave();
  REQUIRE(F.m_Result);
  CHECK(F.m_Result->has_error());
}

TEST_CASE("a departure that was confirmed is confirmed again at once") {
  Fixture F;
  const auto Voter = F.add("v2", WatcherKind::Voter);
  F.leave();
  Voter->confirm(F.m_Change);
  F.run();
  REQUIRE(F.isConfirmed());
  F.m_Result.reset();
  F.m_Service->confirmChange(
      F.m_Change,
      [&](const Result<void, std::string> &Done) { F.m_Result = Done; });
  CHECK(F.isConfirmed());
}

TEST_CASE("a watcher of an earlier version isn't waited for") {
  Fixture F;
  const auto Voter = F.add("v2", WatcherKind::Voter, false);
  F.leave();
  CHECK(Voter->m_Requested == 0);
  CHECK(F.isConfirmed());
}

TEST_CASE("a departure after more records than an update holds is confirmed") {
  Fixture F;
  for (unsigned I = 0; I < 2500; ++I)
    F.announce("s" + std::to_string(I), MemberState::Serving);
  const auto Voter = F.add("v2", WatcherKind::Voter);
  F.leave();
  for (unsigned I = 0; I < 5 && !F.m_Result; ++I) {
    Voter->confirm(Voter->m_Requested);
    F.run();
  }
  CHECK(F.isConfirmed());
  CHECK(Voter->m_Records >= 2501);
}
