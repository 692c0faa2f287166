// A voter's responses to operators and backend servers, with the log, the
// protocol and the caller's connection mocked.
#include "Events/EventLog.h"
#include "Http/HttpServer.h"
#include "Voter/ControlFront.h"
#include "Voter/DocumentMachine.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <trompeloeil.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

class MockLog : public ReplicatedLog {
public:
  MAKE_MOCK3(propose, void(schema::Command, Duration, ProposeHandler),
             override);
  MAKE_CONST_MOCK0(leader, std::string(), override);
};

class MockProtocol : public ControlProtocol {
public:
  MAKE_CONST_MOCK1(read, ControlCall(const HttpRequest &), override);
  HttpResponse accepted() const override { return {{200, {}}, "accepted"}; }
  HttpResponse configuration(std::string Document) const override {
    return {{200, {}}, std::move(Document)};
  }
  HttpResponse announced() const override { return {{200, {}}, "announced"}; }
  HttpResponse unknownZone(std::string_view) const override {
    return {{404, {}}, ""};
  }
  HttpResponse unavailable(std::string_view) const override {
    return {{503, {}}, ""};
  }
};

// Records the response.
class AnsweredExchange : public HttpExchange {
public:
  explicit AnsweredExchange(boost::asio::io_context &Context)
      : m_Context(Context) {}

  const HttpRequest &request() const override { return m_Request; }
  boost::asio::any_io_executor executor() override {
    return m_Context.get_executor();
  }
  void respond(HttpResponse Response) override {
    REQUIRE_FALSE(m_Answer);
    m_Answer = std::move(Response);
  }
  void startStream(HttpHead) override {}
  void writeChunk(std::string) override {}
  void finishStream() override {}
  void abort() override {}
  std::size_t queuedBytes() const override { return 0; }
  void onDrained(std::function<void()>) override {}
  void onClosed(std::function<void()> Handler) override {
    m_OnClosed = std::move(Handler);
  }
  void onStopping(std::function<void()>) override {}

  boost::asio::io_context &m_Context;
  HttpRequest m_Request;
  std::optional<HttpResponse> m_Answer;
  std::function<void()> m_OnClosed;
};

struct Fixture {
  Fixture()
      : m_Events({"voter", "v1", "a"}, "/dev/null"),
        m_Front({m_Protocol, m_Events, m_Machine, m_Log,
                 [this](const Member &Record, ConfirmationHandler Done) {
                   m_Announced = Record;
                   m_Confirm = std::move(Done);
                   if (m_Stored)
                     m_Confirm(*m_Stored);
                 },
                 [](const std::string &Zone) { return Zone != "unknown"; }}),
        m_Exchange(std::make_shared<AnsweredExchange>(m_Context)) {}

  HttpResponse handle(const ControlCall &Call) {
    REQUIRE_CALL(m_Protocol, read(trompeloeil::_)).RETURN(Call);
    m_Front.handle(m_Exchange);
    m_Context.run();
    REQUIRE(m_Exchange->m_Answer);
    return *m_Exchange->m_Answer;
  }

  void apply(std::uint64_t Version, const std::string &Document) {
    schema::Command Command;
    Command.mutable_put_document()->set_version(Version);
    Command.mutable_put_document()->set_document(Document);
    m_Machine.apply(1, Command.SerializeAsString());
  }

  boost::asio::io_context m_Context;
  EventLog m_Events;
  MockProtocol m_Protocol;
  MockLog m_Log;
  DocumentMachine m_Machine;
  std::optional<Member> m_Announced;
  // The result of the next announcement; no value while it is being stored.
  std::optional<Result<void, std::string>> m_Stored = success();
  ConfirmationHandler m_Confirm;
  ControlFront m_Front;
  std::shared_ptr<AnsweredExchange> m_Exchange;
};

} // namespace

TEST_CASE("a newer configuration is acknowledged after it is committed") {
  Fixture F;
  REQUIRE_CALL(F.m_Log, propose(trompeloeil::_, trompeloeil::_, trompeloeil::_))
      .WITH(_1.put_document().version() == 7 &&
            _1.put_document().document() == "seven")
      .SIDE_EFFECT(schema::CommandReply Reply;
                   Reply.mutable_document()->set_version(7); _3(Reply));
  CHECK(F.handle(PutConfiguration{7, "seven"}).m_Body == "accepted");
}

TEST_CASE("a configuration that is not committed is not acknowledged") {
  for (const ProposeErrorCode Code :
       {ProposeErrorCode::NoQuorum, ProposeErrorCode::InDoubt}) {
    Fixture F;
    REQUIRE_CALL(F.m_Log,
                 propose(trompeloeil::_, trompeloeil::_, trompeloeil::_))
        .SIDE_EFFECT(_3(ProposeError{Code, "no leader"}));
    CHECK(F.handle(PutConfiguration{7, "seven"}).m_Head.m_Status == 503);
  }
}

TEST_CASE(
    "a configuration that is not newer is acknowledged without a proposal") {
  Fixture F;
  F.apply(9, "nine");
  FORBID_CALL(F.m_Log, propose(trompeloeil::_, trompeloeil::_, trompeloeil::_));
  CHECK(F.handle(PutConfiguration{9, "another nine"}).m_Body == "accepted");
  CHECK(F.m_Machine.document()->m_Bytes == "nine");
}

TEST_CASE("a read returns the result of a committed command") {
  Fixture F;
  // The state applied at this voter may be out of date.
  F.apply(3, "three");
  REQUIRE_CALL(F.m_Log, propose(trompeloeil::_, trompeloeil::_, trompeloeil::_))
      .WITH(_1.read_document())
      .SIDE_EFFECT(schema::CommandReply Reply;
                   Reply.mutable_document()->set_version(9);
                   Reply.mutable_document()->set_document("nine"); _3(Reply));
  CHECK(F.handle(ReadConfiguration{}).m_Body == "nine");
}

TEST_CASE("a read without a majority does not return the local state") {
  Fixture F;
  F.apply(3, "three");
  REQUIRE_CALL(F.m_Log, propose(trompeloeil::_, trompeloeil::_, trompeloeil::_))
      .SIDE_EFFECT(_3(ProposeError{ProposeErrorCode::NoQuorum, "no leader"}));
  CHECK(F.handle(ReadConfiguration{}).m_Head.m_Status == 503);
}

TEST_CASE("an announcement is passed on before it is acknowledged") {
  Fixture F;
  Member Record;
  Record.m_BackendServer = "i-1";
  Record.m_State = MemberState::Leaving;
  CHECK(F.handle(AnnounceServer{Record}).m_Body == "announced");
  REQUIRE(F.m_Announced);
  CHECK(F.m_Announced->m_State == MemberState::Leaving);
}

TEST_CASE("an announcement isn't acknowledged before it is stored") {
  Fixture F;
  F.m_Stored.reset();
  Member Record;
  Record.m_BackendServer = "i-1";
  Record.m_State = MemberState::Left;
  ALLOW_CALL(F.m_Protocol, read(trompeloeil::_))
      .RETURN(ControlCall(AnnounceServer{Record}));
  F.m_Front.handle(F.m_Exchange);
  F.m_Context.run();
  CHECK_FALSE(F.m_Exchange->m_Answer);
  F.m_Confirm(success());
  REQUIRE(F.m_Exchange->m_Answer);
  CHECK(F.m_Exchange->m_Answer->m_Body == "announced");
}

TEST_CASE("an announcement that can't be stored is refused") {
  Fixture F;
  F.m_Stored = std::string("no other voter is connected");
  CHECK(F.handle(AnnounceServer{Member()}).m_Head.m_Status == 503);
}

TEST_CASE("an invalid call gets the protocol's response") {
  Fixture F;
  CHECK(F.handle(BadCall{BadCall::From::Operator, {{400, {}}, "bad"}, "bad"})
            .m_Head.m_Status == 400);
}

namespace {

constexpr auto Never = EvacuationChange::NeverExpected;
using Zones = std::set<std::string, std::less<>>;

// A log whose committed state is a state machine of its own; the state machine
// of the voter stays empty, as that of a voter that was cut off.
struct CommittedLog {
  explicit CommittedLog(Fixture &F) : m_Fixture(F) { RuntimeClock::pause(); }
  ~CommittedLog() { RuntimeClock::resume(); }

  schema::CommandReply commit(const schema::Command &Command) {
    schema::CommandReply Reply;
    Reply.ParseFromString(m_Machine.apply(1, Command.SerializeAsString()));
    return Reply;
  }

  void order(const std::string &Zone, bool Withdraw) {
    schema::Command Command;
    Command.mutable_change_evacuation()->set_availability_zone(Zone);
    Command.mutable_change_evacuation()->set_withdraw(Withdraw);
    Command.mutable_change_evacuation()->set_expected_change(
        m_Machine.evacuations().m_Change);
    commit(Command);
  }

  // Returns the status of the response.
  unsigned handle(const OrderEvacuation &Order) {
    ALLOW_CALL(m_Fixture.m_Log,
               propose(trompeloeil::_, trompeloeil::_, trompeloeil::_))
        .SIDE_EFFECT(propose(_1, _2, _3));
    return m_Fixture.handle(Order).m_Head.m_Status;
  }

  void propose(const schema::Command &Command, Duration Timeout,
               const ReplicatedLog::ProposeHandler &Done) {
    m_Expected.push_back(Command.change_evacuation().expected_change());
    m_Timeouts.push_back(Timeout);
    REQUIRE(m_Expected.size() < 100);
    if (const auto Error = m_Before(m_Expected.size() - 1))
      return Done(*Error);
    const schema::CommandReply Reply = commit(Command);
    if (const auto Error = m_After(m_Expected.size() - 1))
      return Done(*Error);
    Done(Reply);
  }

  using Hook = std::function<std::optional<ProposeError>(std::size_t)>;

  Fixture &m_Fixture;
  DocumentMachine m_Machine;
  // Called with the number of a proposal, from 0, before and after its commit;
  // an error is the log's answer.
  Hook m_Before = [](std::size_t) { return std::nullopt; };
  Hook m_After = m_Before;
  std::vector<std::uint64_t> m_Expected;
  std::vector<Duration> m_Timeouts;
};

} // namespace

TEST_CASE("an evacuation is acknowledged after it is committed") {
  Fixture F;
  CommittedLog Log(F);
  Log.order("c", false);
  CHECK(Log.handle({"a", false}) == 200);
  CHECK(Log.m_Expected == std::vector<std::uint64_t>{Never, 1});
  CHECK(Log.m_Timeouts.front() == 900ms);
  CHECK(Log.m_Machine.evacuations() == Evacuations{2, {"a", "c"}});
}

TEST_CASE("an order that another one preceded is proposed again with the "
          "number of the reply") {
  Fixture F;
  CommittedLog Log(F);
  Log.m_Before = [&](std::size_t Number) -> std::optional<ProposeError> {
    if (Number == 1)
      Log.order("b", false);
    return std::nullopt;
  };
  CHECK(Log.handle({"a", false}) == 200);
  CHECK(Log.m_Expected == std::vector<std::uint64_t>{Never, 0, 1});
  CHECK(Log.m_Machine.evacuations().m_Zones == Zones{"a", "b"});
}

// Guards against a call that is proposed after its caller has tried another
// voter.
TEST_CASE("an order is given up 900 ms after its arrival if others always come "
          "first") {
  Fixture F;
  CommittedLog Log(F);
  Log.m_Before = [&](std::size_t Number) -> std::optional<ProposeError> {
    RuntimeClock::advance(100ms);
    Log.order("b", Number % 2 != 0);
    return std::nullopt;
  };
  CHECK(Log.handle({"a", false}) == 503);
  CHECK(Log.m_Expected.size() == 9);
  CHECK(Log.m_Timeouts.back() == 100ms);
  CHECK_FALSE(isEvacuated(Log.m_Machine.evacuations(), "a"));
}

// Without a majority, or with a full disk.
TEST_CASE("an order that isn't committed changes nothing and is not "
          "acknowledged, whatever state this voter has applied") {
  Fixture F;
  CommittedLog Log(F);
  F.m_Machine.restore([] {
    DocumentMachine Old;
    schema::Command Command;
    Command.mutable_change_evacuation()->set_availability_zone("a");
    Old.apply(1, Command.SerializeAsString());
    return Old.snapshot();
  }());
  REQUIRE(isEvacuated(F.m_Machine.evacuations(), "a"));
  Log.m_Before = [](std::size_t) {
    return ProposeError{ProposeErrorCode::NoQuorum, "no leader"};
  };
  CHECK(Log.handle({"a", false}) == 503);
  CHECK(Log.m_Machine.evacuations().m_Change == 0);
}

TEST_CASE("an order that is in effect is acknowledged and changes nothing") {
  Fixture F;
  CommittedLog Log(F);
  Log.order("a", false);
  CHECK(Log.handle({"a", false}) == 200);
  CHECK(Log.m_Machine.evacuations().m_Change == 1);
  Fixture Second;
  CommittedLog Empty(Second);
  CHECK(Empty.handle({"a", true}) == 200);
  CHECK(Empty.m_Machine.evacuations().m_Change == 0);
}

// A sync of the log's disk stalls, or the disk is full.
TEST_CASE("an order is answered after 900 ms if the log says nothing") {
  Fixture F;
  CommittedLog Log(F);
  ReplicatedLog::ProposeHandler Pending;
  ALLOW_CALL(F.m_Log, propose(trompeloeil::_, trompeloeil::_, trompeloeil::_))
      .LR_SIDE_EFFECT(Pending = std::move(_3));
  REQUIRE_CALL(F.m_Protocol, read(trompeloeil::_))
      .RETURN(OrderEvacuation{"a", false});
  F.m_Front.handle(F.m_Exchange);
  RuntimeClock::advance(890ms);
  F.m_Context.run_for(20ms);
  CHECK_FALSE(F.m_Exchange->m_Answer);
  RuntimeClock::advance(10ms);
  F.m_Context.run();
  REQUIRE(F.m_Exchange->m_Answer);
  CHECK(F.m_Exchange->m_Answer->m_Head.m_Status == 503);
  schema::CommandReply Late;
  Late.mutable_evacuations();
  std::exchange(Pending, nullptr)(Late);
  F.m_Context.restart();
  F.m_Context.run();
  CHECK_FALSE(Pending);
}

// The leader was killed between the commit and its reply.
TEST_CASE("an order whose reply was lost is proposed again with the same "
          "condition") {
  Fixture F;
  CommittedLog Log(F);
  Log.m_After = [](std::size_t Number) -> std::optional<ProposeError> {
    if (Number == 1)
      return ProposeError{ProposeErrorCode::InDoubt, "reply lost"};
    return std::nullopt;
  };
  CHECK(Log.handle({"a", false}) == 200);
  CHECK(Log.m_Expected == std::vector<std::uint64_t>{Never, 0, 0});
  CHECK(Log.m_Machine.evacuations().m_Change == 1);
}

// A voter that was suspended finds the call after newer orders.
TEST_CASE("an order whose caller has disconnected is not proposed") {
  Fixture F;
  CommittedLog Log(F);
  Log.order("a", false);
  Log.order("a", true);
  Log.m_Before = [&](std::size_t) -> std::optional<ProposeError> {
    F.m_Exchange->m_OnClosed();
    return std::nullopt;
  };
  Log.handle({"a", false});
  CHECK(Log.m_Expected == std::vector<std::uint64_t>{Never});
  CHECK(Log.m_Machine.evacuations() == Evacuations{2, {}});
}

TEST_CASE(
    "a zone is known by the settings, an announcement or its evacuation") {
  Fixture F;
  CommittedLog Log(F);
  CHECK(Log.handle({"unknown", false}) == 404);
  CHECK(Log.m_Machine.evacuations().m_Change == 0);
  Fixture Second;
  CommittedLog Evacuated(Second);
  Evacuated.order("unknown", false);
  CHECK(Evacuated.handle({"unknown", true}) == 200);
  CHECK(Evacuated.m_Machine.evacuations() == Evacuations{2, {}});
}

TEST_CASE("the reply of a leader without evacuations is no acknowledgement") {
  Fixture F;
  REQUIRE_CALL(F.m_Log, propose(trompeloeil::_, trompeloeil::_, trompeloeil::_))
      .SIDE_EFFECT(schema::CommandReply Reply;
                   Reply.mutable_document()->set_version(7); _3(Reply));
  CHECK(F.handle(OrderEvacuation{"a", true}).m_Head.m_Status == 503);
}
