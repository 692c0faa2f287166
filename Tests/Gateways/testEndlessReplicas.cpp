// Replicas that send bytes without end in place of answers, beside sound ones.
// Guards against a gateway that keeps the bytes until it runs out of memory,
// and the requests of its other callers end with it.
#include "Gateways/CallerLoad.h"
#include "Gateways/EngineFleet.h"
#include "Gateways/GatewayDeployment.h"
#include "Gateways/ReplicaAnnouncer.h"
#include "Http/BrokenServer.h"
#include "Http/EndlessServer.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>

using namespace mangocart;
using namespace mangocart::test;
using namespace std::chrono_literals;

namespace {

// The smallest VMs that gateways run on have 160 MB.
constexpr std::uint64_t MaxGatewayBytes = std::uint64_t{160} * 1000 * 1000;
constexpr unsigned FaultyReplicas = 20;
constexpr std::uint16_t ReplicaPort = 9001;

struct Form {
  std::string m_Name;
  unsigned m_Status = 200;
  // The rest of the head, and what follows without end.
  std::string m_Rest;
  std::string m_Again;
};

// Replicas of the service whose answers to requests have no end.
class FaultyFleet {
public:
  explicit FaultyFleet(const GatewayDeployment &D) {
    std::map<std::string, HttpTarget> Replicas;
    for (unsigned I = 0; I < FaultyReplicas; ++I) {
      const HttpTarget At = {fmt::format("{}.{}", D.engineNetwork(), 100 + I),
                             ReplicaPort};
      Replicas[name(I)] = At;
      m_Servers.push_back(std::make_unique<EndlessServer>(
          At.m_Address, At.m_Port,
          [this, I](const std::string &Head) { return answer(I, Head); }));
    }
    m_Announcer =
        std::make_unique<ReplicaAnnouncer>(D.voter(), std::move(Replicas));
  }

  void setForm(const Form &Next) {
    const std::lock_guard Lock(m_Mutex);
    m_Form = Next;
  }
  // Endless answers that were begun, and those that gateways have given up.
  unsigned begun() const {
    unsigned Sum = 0;
    for (const auto &Each : m_Servers)
      Sum += Each->begun();
    return Sum;
  }

private:
  static std::string name(unsigned I) { return fmt::format("faulty-{}", I); }

  EndlessAnswer answer(unsigned I, const std::string &Head) {
    const std::string Id = headerOf(Head, "X-Mangocart-Request-Id");
    if (Id.empty())
      return {fmt::format("HTTP/1.1 200 OK\r\nX-Mangocart-Instance-Id: {}\r\n"
                          "Content-Length: 0\r\n\r\n",
                          name(I)),
              ""};
    const std::lock_guard Lock(m_Mutex);
    return {fmt::format("HTTP/1.1 {} S\r\nX-Mangocart-Request-Id: {}\r\n"
                        "X-Mangocart-Server-Stamp: s\r\n{}",
                        m_Form.m_Status, Id, m_Form.m_Rest),
            m_Form.m_Again};
  }

  std::mutex m_Mutex;
  Form m_Form;
  std::vector<std::unique_ptr<EndlessServer>> m_Servers;
  std::unique_ptr<ReplicaAnnouncer> m_Announcer;
};

// A caller that sends a request and reads nothing.
class SilentCaller {
public:
  SilentCaller(const HttpTarget &Gateway, unsigned Number)
      : m_Socket(m_Context) {
    m_Socket.connect(
        {boost::asio::ip::make_address(Gateway.m_Address), Gateway.m_Port});
    boost::asio::write(m_Socket,
                       boost::asio::buffer(fmt::format(
                           "GET /plain/x HTTP/1.1\r\nHost: test.example\r\n"
                           "X-Mangocart-Deadline-Ms: 4000\r\n"
                           "X-Mangocart-Request-Id: {:016x}\r\n\r\n",
                           Number)));
  }

private:
  boost::asio::io_context m_Context;
  boost::asio::ip::tcp::socket m_Socket;
};

const std::string Long = "Content-Length: 99999999999\r\n\r\n";
const std::string Chunk = "400\r\n" + std::string(1024, 'x') + "\r\n";
const std::string Chunked = "Transfer-Encoding: chunked\r\n";

} // namespace

TEST_CASE("replicas that send bytes without end don't fill a gateway's memory",
          "[endless]") {
  GatewayDeployment D(109, 1);
  D.start();
  FaultyFleet Faulty(D);
  FleetOptions Options = fleetOptionsFor(D);
  Options.m_Engines = 3;
  EngineFleet Sound(Options);
  Sound.start();
  std::this_thread::sleep_for(2s);
  // Streams first: later, gateways avoid the faulty replicas.
  const std::vector<Form> Forms = {
      {"one event", 200,
       "Content-Type: text/event-stream\r\n" + Chunked + "\r\n", Chunk},
      {"fields", 200, "A: ", std::string(1019, 'b') + "\r\nA: "},
      {"no answer", 200, "", std::string(1024, 'x')},
      {"failure with a length", 500, Long, std::string(1024, 'x')},
      {"failure in chunks", 500, Chunked + "\r\n", Chunk},
      {"failure without a length", 500, "\r\n", std::string(1024, 'x')},
      {"chunk extension", 500, Chunked + "\r\n1;", "x"},
  };
  for (const Form &Each : Forms) {
    INFO(Each.m_Name);
    const unsigned Before = Faulty.begun();
    Faulty.setForm(Each);
    // An endless success would be passed on to a caller of a plain request.
    std::vector<CallerKind> Kinds = {{60.0, true, {}}};
    if (Each.m_Name != "one event")
      Kinds.push_back({60.0, false, {}});
    CallerLoad Load({D.gateway(0)}, Kinds, 11);
    Load.start();
    std::this_thread::sleep_for(2s);
    const auto &Records = Load.finish();
    const auto Answered =
        std::count_if(Records.begin(), Records.end(), isWhole);
    WARN(Each.m_Name << ": " << Answered << " of " << Records.size()
                     << " answered, " << Faulty.begun() - Before
                     << " endless answers, peak "
                     << D.peakMemory(0) / 1000 / 1000 << " MB");
    CHECK(Faulty.begun() > Before);
    CHECK(D.peakMemory(0) > 0);
    CHECK(D.peakMemory(0) < MaxGatewayBytes);
  }
}

TEST_CASE("endless answers to callers that read nothing don't fill a gateway's "
          "memory",
          "[endless]") {
  GatewayDeployment D(110, 1);
  D.start();
  FaultyFleet Faulty(D);
  std::this_thread::sleep_for(2s);
  for (const Form &Each : std::vector<Form>{
           {"success with a length", 200, Long, std::string(1024, 'x')},
           {"success in chunks", 200, Chunked + "\r\n", Chunk},
           {"success without a length", 200, "\r\n", std::string(1024, 'x')}}) {
    INFO(Each.m_Name);
    Faulty.setForm(Each);
    std::vector<std::unique_ptr<SilentCaller>> Callers;
    for (unsigned I = 0; I < 300; ++I)
      Callers.push_back(std::make_unique<SilentCaller>(D.gateway(0), I));
    std::this_thread::sleep_for(2s);
    WARN(Each.m_Name << ": peak " << D.peakMemory(0) / 1000 / 1000 << " MB, "
                     << Faulty.begun() << " endless answers");
    CHECK(D.peakMemory(0) > 0);
    CHECK(D.peakMemory(0) < MaxGatewayBytes);
  }
  CHECK(Faulty.begun() > 100);
}
