// Runs the client until each call ends.
#include "Http/TestCaller.h"

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include <memory>

namespace mangocart::test {

using namespace std::chrono_literals;

namespace {

constexpr Duration Deadline = 2s;

HttpClientOptions options() {
  HttpClientOptions Options;
  Options.m_TakesEndByClosing = true;
  return Options;
}

} // namespace

TestCaller::TestCaller(const BrokenServer &Server)
    : m_Port(Server.port()), m_Client(m_Context, options()) {}

CallOutcome TestCaller::get() { return call({"GET", "/", {}, {}, {}}); }

CallOutcome TestCaller::upload(std::size_t Bytes) {
  return call({"POST", "/", {}, std::string(Bytes, 'u'), {}});
}

CallOutcome TestCaller::call(HttpRequest Request) {
  CallOutcome Outcome;
  std::shared_ptr<HttpCall> Call;
  boost::asio::steady_timer Timer(m_Context);
  HttpCallHandlers Handlers;
  Handlers.m_OnHead = [&](HttpHead Head) {
    Outcome.m_Head = std::move(Head);
    if (m_ReadingPause == 0ms)
      return;
    Call->pauseReading();
    Timer.expires_after(m_ReadingPause);
    Timer.async_wait([&](boost::system::error_code) { Call->resumeReading(); });
  };
  Handlers.m_OnBody = [&](std::string_view Piece) {
    Outcome.m_Body.append(Piece);
  };
  Handlers.m_OnEnd = [&] {
    Outcome.m_HasEnded = true;
    m_Context.stop();
  };
  Handlers.m_OnError = [&](const HttpError &Error) {
    Outcome.m_Error = Error;
    m_Context.stop();
  };
  Call = m_Client.send({"127.0.0.1", m_Port}, std::move(Request), Deadline,
                       std::move(Handlers));
  m_Context.restart();
  m_Context.run_for(Deadline + 5s);
  // Handlers hold what goes with this call.
  Call->cancel();
  Timer.cancel();
  m_Context.restart();
  m_Context.poll();
  return Outcome;
}

void checkBroken(const CallOutcome &Outcome, HttpErrorCode Expected) {
  CHECK_FALSE(Outcome.m_HasEnded);
  const bool HasFailed = Outcome.m_Error.has_value();
  CHECK(HasFailed);
  CHECK((HasFailed && Outcome.m_Error->m_Code == Expected));
  CHECK((HasFailed && !Outcome.m_Error->m_NothingSent));
}

void checkRefused(const CallOutcome &Outcome) {
  checkBroken(Outcome, HttpErrorCode::Malformed);
  CHECK_FALSE(Outcome.m_Head);
  CHECK(Outcome.m_Body.empty());
}

void checkWhole(const CallOutcome &Outcome) {
  CHECK(Outcome.m_HasEnded);
  CHECK((Outcome.m_Head && Outcome.m_Head->m_Status == 200));
  CHECK(Outcome.m_Body == "whole");
}

void checkLeavesConnection(const std::string &BrokenText, unsigned Rounds) {
  const BrokenServer Server(
      "127.0.0.1", 0, [&, Count = 0](const std::string &) mutable {
        return BrokenAnswer{++Count % 3 == 2 ? BrokenText : WholeAnswer};
      });
  TestCaller Client(Server);
  for (unsigned Round = 0; Round < Rounds; ++Round) {
    checkWhole(Client.get());
    checkRefused(Client.get());
    checkWhole(Client.get());
  }
  CHECK(Server.requests() == 3 * Rounds);
  CHECK(Server.connections() == Rounds + 1);
}

BrokenServer::Answers always(const BrokenAnswer &Answer) {
  return [=](const std::string &) { return Answer; };
}

} // namespace mangocart::test
