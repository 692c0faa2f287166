// Requests a second and latency of the server with a trivial handler, by the
// project's own client. Hidden: run with the tag [.bench].
#include "Http/HttpClient.h"
#include "Http/HttpTesting.h"

#include <boost/asio/post.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <future>
#include <iostream>

using namespace mangocart;
using namespace mangocart::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t ServerWorkers = 4;
constexpr std::size_t ClientWorkers = 4;
constexpr std::size_t Connections = 64;
constexpr std::size_t RequestsPerConnection = 5000;

// Connections of one client worker; each sends its next request after an
// answer.
class BenchClient {
public:
  BenchClient(boost::asio::io_context &Worker, HttpTarget Target)
      : m_Client(Worker), m_Target(std::move(Target)) {}

  std::future<void> done() { return m_Done.get_future(); }
  void start() {
    for (std::size_t I = 0; I < m_ConnectionsLeft; ++I)
      sendNext(RequestsPerConnection);
  }
  const std::vector<Duration> &latencies() const { return m_Latencies; }

private:
  void sendNext(std::size_t Left) {
    if (Left == 0) {
      if (--m_ConnectionsLeft == 0)
        m_Done.set_value();
      return;
    }
    const TimePoint Sent = RuntimeClock::now();
    m_Client.send(m_Target, {"POST", "/", {}, "body"}, 60s,
                  {{},
                   {},
                   [this, Left, Sent] {
                     m_Latencies.push_back(RuntimeClock::now() - Sent);
                     sendNext(Left - 1);
                   },
                   [](const HttpError &) { std::abort(); }});
  }

  HttpClient m_Client;
  HttpTarget m_Target;
  std::size_t m_ConnectionsLeft = Connections / ClientWorkers;
  std::vector<Duration> m_Latencies;
  std::promise<void> m_Done;
};

} // namespace

TEST_CASE("requests a second at 64 connections", "[.bench]") {
  ServerFixture Server(echo, {}, ServerWorkers);
  WorkerPool Workers(ClientWorkers);
  std::vector<std::unique_ptr<BenchClient>> Clients;
  std::vector<std::future<void>> Done;
  for (std::size_t I = 0; I < ClientWorkers; ++I) {
    Clients.push_back(std::make_unique<BenchClient>(
        Workers.worker(I), HttpTarget{TestAddress, Server.port()}));
    Done.push_back(Clients.back()->done());
    boost::asio::post(Workers.worker(I),
                      [&Client = *Clients.back()] { Client.start(); });
  }
  const TimePoint Begin = RuntimeClock::now();
  Workers.start();
  for (auto &Each : Done)
    Each.wait();
  const Duration Taken = RuntimeClock::now() - Begin;
  Workers.stop();
  std::vector<Duration> All;
  for (const auto &Client : Clients)
    All.insert(All.end(), Client->latencies().begin(),
               Client->latencies().end());
  std::sort(All.begin(), All.end());
  const double Seconds = std::chrono::duration<double>(Taken).count();
  std::cout << static_cast<double>(All.size()) / Seconds
            << " requests/s, latency p50 " << All[All.size() / 2].count()
            << " us, p99 " << All[All.size() * 99 / 100].count() << " us\n";
}
