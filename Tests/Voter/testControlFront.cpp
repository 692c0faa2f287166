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
  void onClosed(std::function<void()>) override {}

  boost::asio::io_context &m_Context;
  HttpRequest m_Request;
  std::optional<HttpResponse> m_Answer;
};

struct Fixture {
  Fixture()
      : m_Events({"voter", "v1", "a"}, "/dev/null"),
        m_Front({m_Protocol, m_Events, m_Machine, m_Log,
                 [this](const Member &Record) { m_Announced = Record; }}),
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

TEST_CASE("an invalid call gets the protocol's response") {
  Fixture F;
  CHECK(F.handle(BadCall{BadCall::From::Operator, {{400, {}}, "bad"}, "bad"})
            .m_Head.m_Status == 400);
}
