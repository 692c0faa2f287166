// An entry's calls to an agent that passes on an answer without end, or an
// answer that can't be sent to a caller. Guards against an entry that keeps all
// bytes of the first, and against callers that get a part of the second.
#include "Entry/CallAttempt.h"

#include "Core/Hash.h"
#include "Core/PostTask.h"
#include "Core/WorkerPool.h"

#include <catch2/catch.hpp>

#include <future>
#include <optional>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

constexpr const char *Address = "127.24.0.2";
constexpr std::uint16_t AgentPort = 7413;
constexpr std::uint64_t Limit = std::uint64_t{1024} * 1024;

// Sends a head, and pieces of a body as long as the entry reads them.
void answerWithoutEnd(const std::shared_ptr<PeerStream> &Stream) {
  Stream->setHandlers({});
  schema::CallReply Head;
  Head.mutable_head()->set_status(200);
  Stream->send(Head.SerializeAsString());
  const auto SendPiece = [Weak = std::weak_ptr(Stream)] {
    schema::CallReply Piece;
    Piece.set_body(std::string(std::size_t{64} * 1024, 'x'));
    if (const auto Live = Weak.lock())
      Live->send(Piece.SerializeAsString());
  };
  Stream->onDrained(SendPiece);
  SendPiece();
}

schema::CallReply makeHead(unsigned Status, const std::string &Name = "X-A",
                           const std::string &Value = "v") {
  schema::CallReply Reply;
  Reply.mutable_head()->set_status(Status);
  schema::Header *Header = Reply.mutable_head()->add_headers();
  Header->set_name(Name);
  Header->set_value(Value);
  return Reply;
}

schema::CallReply makeBody(const std::string &Body) {
  schema::CallReply Reply;
  Reply.set_body(Body);
  return Reply;
}

schema::CallReply makeEnd(const std::string &Body) {
  schema::CallReply Reply;
  Reply.mutable_end()->set_byte_count(Body.size());
  Reply.mutable_end()->set_checksum(hash64(Body, 0));
  return Reply;
}

using Replies = std::vector<schema::CallReply>;

Replies wholeAnswer(const schema::CallReply &Head) {
  return {Head, makeBody("whole"), makeEnd("whole")};
}

struct Taken {
  unsigned m_Heads = 0;
  std::string m_Body;
  bool m_HasEnded = false;
  std::optional<CallBroken> m_Broken;
};

// An agent that answers with the given replies, and an entry's calls to it.
class AgentFixture {
public:
  AgentFixture() : m_Server(m_Workers), m_Peers(m_Workers) {
    m_Server.addMethod("/agent/call",
                       [this](const std::shared_ptr<PeerStream> &Stream) {
                         Stream->setHandlers({});
                         for (const schema::CallReply &Each : m_Replies)
                           Stream->send(Each.SerializeAsString());
                         Stream->finish();
                       });
    m_Server.listen(Address, AgentPort).value();
    m_Workers.start();
  }
  ~AgentFixture() { m_Workers.stop(); }
  AgentFixture(const AgentFixture &) = delete;
  AgentFixture &operator=(const AgentFixture &) = delete;

  Taken call(const Replies &Answer) {
    m_Replies = Answer;
    Taken Result;
    std::promise<void> Done;
    CallHandlers Handlers;
    Handlers.m_OnHead = [&](const schema::CallHead &) { ++Result.m_Heads; };
    Handlers.m_OnBody = [&](const std::string &Data) { Result.m_Body += Data; };
    Handlers.m_OnEnd = [&] {
      Result.m_HasEnded = true;
      Done.set_value();
    };
    Handlers.m_OnRefusal = [&](const schema::CallRefusal &) {
      Done.set_value();
    };
    Handlers.m_OnBroken = [&](const CallBroken &Broken) {
      Result.m_Broken = Broken;
      Done.set_value();
    };
    const auto Executor = m_Workers.worker(0).get_executor();
    std::shared_ptr<CallAttempt> Call;
    postTask(Executor, [&] {
      Call = CallAttempt::start(m_Peers, {Address, AgentPort},
                                schema::CallRequest(), Executor,
                                std::move(Handlers));
    });
    Done.get_future().get();
    return Result;
  }

private:
  WorkerPool m_Workers{1};
  PeerServer m_Server;
  PeerClient m_Peers;
  Replies m_Replies;
};

} // namespace

TEST_CASE("an answer without end breaks the call at the taker's limit") {
  WorkerPool Workers(1);
  PeerServer Server(Workers);
  PeerClient Peers(Workers);
  Server.addMethod("/agent/call", answerWithoutEnd);
  Server.listen(Address, AgentPort).value();
  Workers.start();
  std::promise<bool> IsBroken;
  std::uint64_t Taken = 0;
  CallHandlers Handlers;
  Handlers.m_OnHead = [](const schema::CallHead &) {};
  Handlers.m_OnBody = [&](const std::string &Data) { Taken += Data.size(); };
  Handlers.m_OnEnd = [&] { IsBroken.set_value(false); };
  Handlers.m_OnRefusal = [&](const schema::CallRefusal &) {
    IsBroken.set_value(false);
  };
  Handlers.m_OnBroken = [&](const CallBroken &) { IsBroken.set_value(true); };
  Handlers.m_MaxBodyBytes = Limit;
  const auto Executor = Workers.worker(0).get_executor();
  std::shared_ptr<CallAttempt> Call;
  postTask(Executor, [&] {
    Call =
        CallAttempt::start(Peers, {Address, AgentPort}, schema::CallRequest(),
                           Executor, std::move(Handlers));
  });
  auto Result = IsBroken.get_future();
  const bool HasEnded = Result.wait_for(10s) == std::future_status::ready;
  Workers.stop();
  REQUIRE(HasEnded);
  CHECK(Result.get());
  CHECK(Taken <= Limit);
}

TEST_CASE("an answer that can't be sent to a caller breaks the call") {
  AgentFixture Agent;
  std::vector<Replies> Broken;
  for (const unsigned Status :
       {0U, 1U, 99U, 100U, 101U, 199U, 600U, 999U, 1000U, 65736U, 4294967295U})
    Broken.push_back(wholeAnswer(makeHead(Status)));
  std::string Invalid = "\x7F :(),/;<=>?@[\\]{}\"";
  for (char Control = 0; Control < ' '; ++Control)
    Invalid += Control;
  Broken.push_back(wholeAnswer(makeHead(200, "")));
  Broken.push_back(wholeAnswer(makeHead(200, "X\xC3\xA4")));
  for (const char Each : Invalid) {
    const std::string Byte(1, Each);
    Broken.push_back(wholeAnswer(makeHead(200, Byte + "X-A")));
    Broken.push_back(wholeAnswer(makeHead(200, "X" + Byte + "A")));
    Broken.push_back(wholeAnswer(makeHead(200, "X-A" + Byte)));
  }
  for (char Control = 0; Control < ' '; ++Control)
    if (Control != '\t')
      Broken.push_back(
          wholeAnswer(makeHead(200, "X-A", std::string("v") + Control + "w")));
  Broken.push_back(wholeAnswer(makeHead(200, "X-A", "v\x7F")));
  for (const Replies &Each : Broken) {
    INFO(Each.front().ShortDebugString());
    const Taken Result = Agent.call(Each);
    CHECK(Result.m_Heads == 0);
    CHECK(Result.m_Body.empty());
    CHECK_FALSE(Result.m_HasEnded);
    CHECK((Result.m_Broken && !Result.m_Broken->m_NothingSent));
  }
}

TEST_CASE("an answer with its messages out of order breaks the call") {
  AgentFixture Agent;
  const schema::CallReply Head = makeHead(200);
  const Replies Broken[] = {
      {},
      {Head},
      {Head, makeBody("whole")},
      {Head, makeBody("whol"), makeEnd("whole")},
      {Head, makeBody("wrong"), makeEnd("whole")},
      {Head, makeEnd("whole")},
      {makeEnd("")},
      {makeBody("whole"), makeEnd("whole")},
      {makeBody("whole"), Head, makeEnd("whole")},
      {Head, Head, makeBody("whole"), makeEnd("whole")},
      {Head, makeBody("whole"), Head, makeEnd("whole")},
      {Head, makeBody("whole"), schema::CallReply(), makeEnd("whole")}};
  for (const Replies &Each : Broken) {
    INFO(&Each - Broken);
    const Taken Result = Agent.call(Each);
    CHECK_FALSE(Result.m_HasEnded);
    CHECK((Result.m_Broken && !Result.m_Broken->m_NothingSent));
    CHECK(Result.m_Heads <= 1);
  }
}

TEST_CASE("an answer that can be sent to a caller is handed over") {
  AgentFixture Agent;
  for (const unsigned Status : {200U, 204U, 404U, 500U, 599U})
    for (const std::string Value : {"", "v", "v\tw", "caf\xE9"}) {
      const Taken Result =
          Agent.call(wholeAnswer(makeHead(Status, "X-A", Value)));
      CHECK(Result.m_HasEnded);
      CHECK(Result.m_Heads == 1);
      CHECK(Result.m_Body == "whole");
    }
}
