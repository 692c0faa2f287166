// Command line, signals and the orderly end of the stand-in.
#include "Standin/StandinProgram.h"

#include "Core/Timer.h"
#include "Core/WorkerPool.h"
#include "Standin/Standin.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace mangocart {

namespace {

// Longest time that a stand-in which was asked to stop finishes requests.
constexpr Duration MaxDrain = std::chrono::seconds(30);
constexpr Duration DrainLookInterval = std::chrono::milliseconds(10);

// As a crash would end it: nothing is flushed, no connection is shut down.
[[noreturn]] void dieAtOnce() {
  std::_Exit(static_cast<int>(ExitCode::Failed));
}

// Waits on its own context for a signal, then for requests in progress.
void waitForEnd(Standin &Player) {
  boost::asio::io_context Main;
  boost::asio::signal_set Signals(Main, SIGINT, SIGTERM);
  Signals.async_wait([](boost::system::error_code, int) {});
  Main.run();
  Player.closeListener();
  const TimePoint Due = RuntimeClock::now() + MaxDrain;
  while (Player.exchangeCount() > 0 && RuntimeClock::now() < Due)
    std::this_thread::sleep_for(DrainLookInterval);
}

} // namespace

ExitCode runStandin(int ArgumentCount, const char *const *Arguments) {
  auto Parsed = parseStandinOptions(ArgumentCount, Arguments);
  if (const auto *Exit = std::get_if<ExitCode>(&Parsed))
    return *Exit;
  WorkerPool Workers(1);
  Standin Player(Workers, std::get<StandinOptions>(std::move(Parsed)),
                 dieAtOnce);
  if (const auto Listening = Player.listen(); !Listening) {
    std::cerr << "mangocart-standin: " << Listening.error().m_Detail << "\n";
    return ExitCode::Failed;
  }
  Workers.start();
  std::cout << "listening on port " << Player.port() << std::endl;
  waitForEnd(Player);
  Workers.stop();
  return ExitCode::Ok;
}

} // namespace mangocart
