// The client against the project's own server and against a server that
// answers with given bytes.
#include "Http/HttpClient.h"
#include "Http/HttpTesting.h"

#include <boost/asio/post.hpp>

#include <catch2/catch.hpp>

#include <future>

using namespace mangocart;
using namespace mangocart::testing;
using namespace std::chrono_literals;

namespace {

struct Outcome {
  HttpHead m_Head;
  std::string m_Body;
  bool m_Ended = false;
  std::optional<HttpError> m_Error;
};

// Runs calls on a worker of its own and waits for each.
class ClientFixture {
public:
  ClientFixture() : m_Workers(1), m_Client(m_Workers.worker(0)) {
    m_Workers.start();
  }
  ~ClientFixture() { m_Workers.stop(); }
  ClientFixture(const ClientFixture &) = delete;
  ClientFixture &operator=(const ClientFixture &) = delete;

  Outcome call(std::uint16_t Port, HttpRequest Request,
               Duration Deadline = 20s) {
    std::promise<void> Done;
    Outcome Result;
    boost::asio::post(m_Workers.worker(0), [&] {
      m_Client.send(
          {TestAddress, Port}, std::move(Request), Deadline,
          {[&](HttpHead Head) { Result.m_Head = std::move(Head); },
           [&](std::string_view Piece) { Result.m_Body.append(Piece); },
           [&] {
             Result.m_Ended = true;
             Done.set_value();
           },
           [&](HttpError Error) {
             Result.m_Error = std::move(Error);
             Done.set_value();
           }});
    });
    Done.get_future().wait();
    return Result;
  }

private:
  WorkerPool m_Workers;
  HttpClient m_Client;
};

} // namespace

TEST_CASE("a call gets its whole answer, again and again") {
  ServerFixture Server(echo);
  ClientFixture Client;
  for (const std::size_t Size : {0, 1, 5000, 1000000}) {
    const std::string Body(Size, 'x');
    const Outcome Result = Client.call(Server.port(), {"POST", "/", {}, Body});
    REQUIRE_FALSE(Result.m_Error);
    CHECK(Result.m_Head.m_Status == 200);
    CHECK(Result.m_Body == "POST:" + Body);
  }
  CHECK(Server.server().connectionCount() == 1);
}
