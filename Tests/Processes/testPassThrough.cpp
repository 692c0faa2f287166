// What a caller's request takes with it through entry and agent to the engine:
// its priority, and its end when the caller hangs up.
#include "Core/WorkerPool.h"
#include "Http/HttpClient.h"
#include "Processes/Deployment.h"

#include <boost/asio/post.hpp>

#include <catch2/catch.hpp>

#include <future>
#include <mutex>

using namespace mangocart;
using namespace mangocart::test;
using namespace std::chrono_literals;

namespace {

// Callers of one entry whose only engine works on one request at a time.
class OneEngine {
public:
  explicit OneEngine(int Octet)
      : m_Deployment(Octet), m_Workers(1), m_Client(m_Workers.worker(0)) {
    m_Deployment.start();
    m_Workers.start();
    m_Deployment.kill("engine-2");
    m_Deployment.kill("engine-3");
    m_Deployment.kill("standin-engine-1");
    REQUIRE(eventually([&] { return m_Deployment.serving("entry-a") == 2; }));
    m_Deployment.startStandin("engine-1", 1);
    REQUIRE(eventually([&] { return m_Deployment.serving("entry-a") == 3; }));
  }
  ~OneEngine() { m_Workers.stop(); }
  OneEngine(const OneEngine &) = delete;
  OneEngine &operator=(const OneEngine &) = delete;

  std::shared_ptr<HttpCall> draft(const std::string &Priority,
                                  unsigned Tokens) {
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Target = "/v1/drafts";
    Request.m_Headers = {{"Mangocart-Customer", "families"},
                         {"Mangocart-Priority", Priority}};
    Request.m_Body =
        R"({"prompt":"p","max_tokens":)" + std::to_string(Tokens) + "}";
    return send({m_Deployment.address("entry-a"), 8080}, std::move(Request),
                [this, Priority](const std::string &) {
                  const std::lock_guard Lock(m_Mutex);
                  m_Ended.push_back(Priority);
                });
  }

  void hangUp(const std::shared_ptr<HttpCall> &Call) {
    boost::asio::post(m_Workers.worker(0), [Call] { Call->cancel(); });
  }

  // Until the engine's own load report contains the text.
  bool engineShows(const std::string &Text) {
    return eventually([&] {
      std::promise<std::string> Body;
      send({m_Deployment.address("engine-1"), 9000}, {"GET", "/load"},
           [&](const std::string &Got) { Body.set_value(Got); });
      return Body.get_future().get().find(Text) != std::string::npos;
    });
  }

  // Priorities of the drafts that ended whole, in order.
  std::vector<std::string> ended() {
    const std::lock_guard Lock(m_Mutex);
    return m_Ended;
  }

private:
  std::shared_ptr<HttpCall> send(HttpTarget Target, HttpRequest Request,
                                 std::function<void(std::string)> OnWhole) {
    std::promise<std::shared_ptr<HttpCall>> Sent;
    boost::asio::post(m_Workers.worker(0), [&] {
      const auto Body = std::make_shared<std::string>();
      Sent.set_value(
          m_Client.send(Target, std::move(Request), 60s,
                        {[](const HttpHead &) {},
                         [Body](std::string_view Piece) { *Body += Piece; },
                         [Body, OnWhole] { OnWhole(*Body); },
                         [OnWhole](const HttpError &) { OnWhole({}); }}));
    });
    return Sent.get_future().get();
  }

  Deployment m_Deployment;
  WorkerPool m_Workers;
  HttpClient m_Client;
  std::mutex m_Mutex;
  std::vector<std::string> m_Ended;
};

} // namespace

TEST_CASE("a hang-up ends the work at the engine and a priority goes ahead") {
  OneEngine Engine(124);
  const auto Running = Engine.draft("9", 100000);
  CHECK(Engine.engineShows(R"("running":1)"));
  Engine.draft("0", 1);
  CHECK(Engine.engineShows(R"("waiting":1)"));
  Engine.draft("5", 1);
  CHECK(Engine.engineShows(R"("waiting":2)"));
  const auto Waiting = Engine.draft("7", 1);
  CHECK(Engine.engineShows(R"("waiting":3)"));
  // One that waits at the engine, then the one it works on.
  Engine.hangUp(Waiting);
  CHECK(Engine.engineShows(R"("waiting":2)"));
  CHECK(Engine.ended().empty());
  Engine.hangUp(Running);
  CHECK(Engine.engineShows(R"("cancelled":2)"));
  CHECK(eventually([&] { return Engine.ended().size() == 2; }));
  CHECK(Engine.ended() == std::vector<std::string>{"5", "0"});
}
