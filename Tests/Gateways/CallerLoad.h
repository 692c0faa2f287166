// Callers that send requests to the gateways at a fixed rate, each on its own
// connection, and record what they got. Optionally they send a request that
// wasn't answered again at once, under a new ID.
#ifndef MANGOCART_TESTS_CALLERLOAD_H
#define MANGOCART_TESTS_CALLERLOAD_H

#include "Core/Random.h"
#include "Http/HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <deque>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace mangocart::test {

// What a request asks for.
struct CallerKind {
  double m_PerSecond = 0.0;
  bool m_IsStream = true;
  // Returns the shared parts of the next prompt; a part of its own is added.
  // Without a function, requests have no prompt.
  std::function<std::vector<std::string>(Random &)> m_Parts;
  // Returns the body of the next request; empty without a function.
  std::function<std::string(Random &)> m_Body;
  // A plain request that isn't idempotent.
  bool m_IsUnsafe = false;
  // How often the callers send a request again.
  unsigned m_Retries = 0;
};

// What a caller got for its request, at its last attempt.
struct CallRecord {
  std::size_t m_Kind = 0;
  unsigned m_Attempts = 0;
  std::chrono::steady_clock::time_point m_SentAt;
  std::chrono::microseconds m_EndedAfter{0};
  // 0 without a response.
  unsigned m_Status = 0;
  std::string m_Body;
  // The response ended in good order.
  bool m_Ended = false;
};

// A success whose end looked complete.
bool isAnswered(const CallRecord &Record);
// The same with all that an engine of EngineFleet answers.
bool isWhole(const CallRecord &Record);

class CallerLoad {
public:
  CallerLoad(std::vector<HttpTarget> Gateways, std::vector<CallerKind> Kinds,
             std::uint64_t Seed);
  ~CallerLoad();
  CallerLoad(const CallerLoad &) = delete;
  CallerLoad &operator=(const CallerLoad &) = delete;

  void start();
  // Sends no more and waits for what is under way. Returns all requests.
  const std::deque<CallRecord> &finish();

private:
  void sendNext(std::size_t Kind);
  void send(CallRecord &Record, const HttpRequest &Request);
  void onEnded(CallRecord &Record, const HttpRequest &Request);

  const std::vector<HttpTarget> m_Gateways;
  const std::vector<CallerKind> m_Kinds;
  Random m_Random;
  boost::asio::io_context m_Context;
  HttpClient m_Client;
  std::vector<boost::asio::steady_timer> m_Timers;
  // Grows at its end only, so that references stay valid.
  std::deque<CallRecord> m_Records;
  bool m_Stopping = false;
  std::thread m_Thread;
};

} // namespace mangocart::test

#endif
