// Start, signal handling and graceful shutdown of the simulated backend server.
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

// Time limit for completing requests in progress at shutdown.
constexpr Duration MaxDrainTime = std::chrono::seconds(30);
constexpr Duration DrainPollInterval = std::chrono::milliseconds(10);

// Simulates a crash: nothing is flushed and no connection is shut down.
[[noreturn]] void exitImmediately() {
  std::_Exit(static_cast<int>(ExitCode::Failed));
}

// Waits for a signal on a separate io_context, then for requests in progress.
void waitForShutdown(Standin &Server) {
  boost::asio::io_context SignalContext;
  boost::asio::signal_set Signals(SignalContext, SIGINT, SIGTERM);
  Signals.async_wait([](boost::system::error_code, int) {});
  SignalContext.run();
  Server.closeListener();
  const TimePoint Deadline = RuntimeClock::now() + MaxDrainTime;
  while (Server.exchangeCount() > 0 && RuntimeClock::now() < Deadline)
    std::this_thread::sleep_for(DrainPollInterval);
}

} // namespace

ExitCode runStandin(int ArgumentCount, const char *const *Arguments) {
  auto Parsed = parseStandinOptions(ArgumentCount, Arguments);
  if (const auto *Exit = std::get_if<ExitCode>(&Parsed))
    return *Exit;
  WorkerPool Workers(1);
  Standin Server(Workers, std::get<StandinOptions>(std::move(Parsed)),
                 exitImmediately);
  if (const auto Listening = Server.listen(); !Listening) {
    std::cerr << "mangocart-standin: " << Listening.error().m_Detail << "\n";
    return ExitCode::Failed;
  }
  Workers.start();
  std::cout << "listening on port " << Server.port() << std::endl;
  waitForShutdown(Server);
  Workers.stop();
  return ExitCode::Ok;
}

} // namespace mangocart
