// A client for tests of broken answers: sends calls one after the other and
// keeps what their handlers got.
#ifndef MANGOCART_TESTS_TESTCALLER_H
#define MANGOCART_TESTS_TESTCALLER_H

#include "Http/BrokenServer.h"
#include "Http/HttpClient.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace mangocart::test {

struct CallOutcome {
  std::optional<HttpHead> m_Head;
  std::string m_Body;
  bool m_HasEnded = false;
  std::optional<HttpError> m_Error;
};

class TestCaller {
public:
  // Answers may end with their connection.
  explicit TestCaller(const BrokenServer &Server);

  // Reading pauses after each head for so long.
  void setReadingPause(std::chrono::milliseconds Pause) {
    m_ReadingPause = Pause;
  }

  CallOutcome get();
  CallOutcome upload(std::size_t Bytes);

private:
  CallOutcome call(HttpRequest Request);

  const std::uint16_t m_Port;
  boost::asio::io_context m_Context;
  HttpClient m_Client;
  std::chrono::milliseconds m_ReadingPause{0};
};

// The call has failed as one that may have run, without a whole answer.
void checkBroken(const CallOutcome &Outcome, HttpErrorCode Expected);
// The same for an answer of which nothing may be handed over.
void checkRefused(const CallOutcome &Outcome);
// The answer is WholeAnswer.
void checkWhole(const CallOutcome &Outcome);

// In each round, a connection gives a whole answer, then the broken one, and
// carries no other call.
void checkLeavesConnection(const std::string &BrokenText, unsigned Rounds);

BrokenServer::Answers always(const BrokenAnswer &Answer);

inline const std::string StatusLine = "HTTP/1.1 200 OK\r\n";
inline const std::string WholeAnswer =
    StatusLine + "Content-Length: 5\r\n\r\nwhole";

} // namespace mangocart::test

#endif
