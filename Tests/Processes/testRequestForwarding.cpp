// Forwarding of a request's priority, of its cancellation when the caller
// disconnects, and of bytes above ASCII, through entry and agent to the backend
// server.
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

// Deployment with a single engine that processes one request at a time, and
// callers of one entry.
class SingleEngineFixture {
public:
  explicit SingleEngineFixture(int Octet)
      : m_Deployment(Octet), m_Workers(1), m_Client(m_Workers.worker(0)) {
    m_Deployment.start();
    m_Workers.start();
    m_Deployment.kill("engine-2");
    m_Deployment.kill("engine-3");
    m_Deployment.kill("standin-engine-1");
    REQUIRE(
        eventually([&] { return m_Deployment.servingCount("entry-a") == 2; }));
    m_Deployment.startStandin("engine-1", 1);
    REQUIRE(
        eventually([&] { return m_Deployment.servingCount("entry-a") == 3; }));
  }
  ~SingleEngineFixture() { m_Workers.stop(); }
  SingleEngineFixture(const SingleEngineFixture &) = delete;
  SingleEngineFixture &operator=(const SingleEngineFixture &) = delete;

  std::shared_ptr<HttpCall> sendDraft(const std::string &Priority,
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
                  m_CompletedPriorities.push_back(Priority);
                });
  }

  void disconnect(const std::shared_ptr<HttpCall> &Call) {
    boost::asio::post(m_Workers.worker(0), [Call] { Call->cancel(); });
  }

  // Waits until the engine's load report contains the text.
  bool waitForEngineLoad(const std::string &Text) {
    return eventually([&] {
      std::promise<std::string> Body;
      send({m_Deployment.address("engine-1"), 9000}, {"GET", "/load"},
           [&](const std::string &Response) { Body.set_value(Response); });
      return Body.get_future().get().find(Text) != std::string::npos;
    });
  }

  // Returns the priorities of the finished drafts, in order of completion.
  std::vector<std::string> completedPriorities() {
    const std::lock_guard Lock(m_Mutex);
    return m_CompletedPriorities;
  }

private:
  std::shared_ptr<HttpCall> send(HttpTarget Target, HttpRequest Request,
                                 std::function<void(std::string)> OnComplete) {
    std::promise<std::shared_ptr<HttpCall>> Sent;
    boost::asio::post(m_Workers.worker(0), [&] {
      const auto Body = std::make_shared<std::string>();
      Sent.set_value(
          m_Client.send(Target, std::move(Request), 60s,
                        {[](const HttpHead &) {},
                         [Body](std::string_view Chunk) { *Body += Chunk; },
                         [Body, OnComplete] { OnComplete(*Body); },
                         [OnComplete](const HttpError &) { OnComplete({}); }}));
    });
    return Sent.get_future().get();
  }

  Deployment m_Deployment;
  WorkerPool m_Workers;
  HttpClient m_Client;
  std::mutex m_Mutex;
  std::vector<std::string> m_CompletedPriorities;
};

} // namespace

TEST_CASE("requests are cancelled on disconnect and ordered by priority") {
  SingleEngineFixture Engine(124);
  const auto Running = Engine.sendDraft("9", 100000);
  CHECK(Engine.waitForEngineLoad(R"("running":1)"));
  Engine.sendDraft("0", 1);
  CHECK(Engine.waitForEngineLoad(R"("waiting":1)"));
  Engine.sendDraft("5", 1);
  CHECK(Engine.waitForEngineLoad(R"("waiting":2)"));
  const auto Waiting = Engine.sendDraft("7", 1);
  CHECK(Engine.waitForEngineLoad(R"("waiting":3)"));
  // Cancels a request that is queued at the engine, then the running one.
  Engine.disconnect(Waiting);
  CHECK(Engine.waitForEngineLoad(R"("waiting":2)"));
  CHECK(Engine.completedPriorities().empty());
  Engine.disconnect(Running);
  CHECK(Engine.waitForEngineLoad(R"("cancelled":2)"));
  CHECK(eventually([&] { return Engine.completedPriorities().size() == 2; }));
  CHECK(Engine.completedPriorities() == std::vector<std::string>{"5", "0"});
}

TEST_CASE("bytes above ASCII in a request harm neither it nor later ones") {
  const std::string Latin = "caf\xe9";
  Deployment D(139);
  D.start();
  WorkerPool Workers(1);
  HttpClient Client(Workers.worker(0));
  Workers.start();
  const auto Post = [&](const std::string &Path, const HttpHeader &Field) {
    HttpRequest Request{
        "POST", Path, {{"Mangocart-Customer", "families"}, Field}, "{}", {}};
    std::promise<unsigned> Status;
    boost::asio::post(Workers.worker(0), [&] {
      const auto Head = std::make_shared<HttpHead>();
      Client.send({D.address("entry-a"), 8080}, std::move(Request), 20s,
                  {[Head](const HttpHead &Got) { *Head = Got; },
                   [](std::string_view) {},
                   [&, Head] { Status.set_value(Head->m_Status); },
                   [&](const HttpError &) { Status.set_value(0); }});
    });
    return Status.get_future().get();
  };
  for (int Round = 0; Round < 5; ++Round) {
    CHECK(Post("/v1/drafts", {"X-Visitor", Latin}) == 200);
    CHECK(Post("/bookings", {"X-Visitor", Latin}) == 200);
    CHECK(Post("/v1/drafts?visitor=" + Latin, {"X-Round", "1"}) == 200);
    // The key is kept in the log of all entries.
    CHECK(Post("/bookings", {"Idempotency-Key", Latin}) == 400);
  }
  CHECK(Post("/bookings", {"Idempotency-Key", "row 7"}) == 200);
  CHECK(Post("/v1/drafts", {"X-Round", "6"}) == 200);
  Workers.stop();
}
