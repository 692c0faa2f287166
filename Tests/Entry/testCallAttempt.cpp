// An entry's calls to an agent that passes on an answer without end. Guards
// against an entry that keeps all of its bytes.
#include "Entry/CallAttempt.h"

#include "Core/WorkerPool.h"

#include <catch2/catch.hpp>

#include <future>

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
  const auto Call =
      CallAttempt::start(Peers, {Address, AgentPort}, schema::CallRequest(),
                         Workers.worker(0).get_executor(), std::move(Handlers));
  auto Result = IsBroken.get_future();
  const bool HasEnded = Result.wait_for(10s) == std::future_status::ready;
  Workers.stop();
  REQUIRE(HasEnded);
  CHECK(Result.get());
  CHECK(Taken <= Limit);
}
