// The crash guards of two gateways, servers that run and servers that refuse
// connections. Guards against crashes that only one gateway knows of, several
// trials of one part at a time, and servers taken for ended that are not.
#include "Gateway/CrashGuard.h"

#include "Core/WorkerPool.h"
#include "Entry/MembershipDirectory.h"
#include "Events/EventLog.h"
#include "Gateway.pb.h"
#include "Gateway/CallerProtocol.h"
#include "Gateway/GatewayMetrics.h"
#include "Http/BrokenServer.h"
#include "Http/HttpClients.h"
#include "Http/HttpServer.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <fmt/format.h>

#include <boost/asio/post.hpp>

#include <charconv>
#include <future>

using namespace mangocart;
using namespace mangocart::test;
using namespace std::chrono_literals;

namespace {

const std::string Service = "drafts";
constexpr const char *EngineAddress = "127.90.9.1";
// Nothing listens there.
constexpr const char *EndedAddress = "127.90.9.2";

class MockProtocol : public CallerProtocol {
public:
  MAKE_CONST_MOCK1(read, CallerRequest(const HttpRequest &), override);
  MAKE_CONST_MOCK2(forward,
                   HttpRequest(const HttpRequest &, const ForwardedMetadata &),
                   override);
  MAKE_CONST_MOCK0(livenessProbe, HttpRequest(), override);
  // The body is the number.
  std::optional<std::uint64_t>
  readIncarnation(std::string_view Body) const override {
    std::uint64_t Number = 0;
    const auto Parsed =
        std::from_chars(Body.data(), Body.data() + Body.size(), Number);
    return Parsed.ec == std::errc() ? std::optional(Number) : std::nullopt;
  }
  MAKE_CONST_MOCK2(ownerOf, AnswerOwner(const HttpHead &, std::string_view),
                   override);
  MAKE_CONST_MOCK2(classify, ResponseKind(const HttpHead &, std::string_view),
                   override);
  MAKE_CONST_MOCK1(readNotice, ServerNotice(const HttpHead &), override);
  MAKE_CONST_MOCK1(toCallerHead, HttpHead(const HttpHead &), override);
  MAKE_CONST_MOCK4(makeResponse,
                   HttpResponse(unsigned, std::string_view, std::string_view,
                                std::optional<Duration>),
                   override);
  using PlanResult = Result<RoutingPlan, PlanError>;
  MAKE_CONST_MOCK1(readPlan, PlanResult(std::string_view), override);
};

const std::set<PeerEndpoint> Gateways = {{"10.0.0.1", 7340},
                                         {"10.0.0.2", 7340}};

struct Gateway {
  Gateway(WorkerPool &Workers, const CallerProtocol &Protocol, int Number)
      : m_Events({"gateway", fmt::format("g{}", Number), "a"}, "/dev/null"),
        m_Metrics(m_Registry), m_Directory(m_Events, "a", 1, 1),
        m_Clients(Workers),
        m_Guard(std::make_shared<CrashGuard>(
            Workers.worker(0), m_Clients, Protocol, m_Directory, m_Events,
            m_Metrics, fmt::format("g{}", Number),
            *std::next(Gateways.begin(), Number - 1))),
        m_Executor(Workers.worker(0).get_executor()) {
    m_Guard->setGateways(Gateways);
    for (int I = 0; I < 3; ++I) {
      Member Server;
      Server.m_BackendServer = fmt::format("other{}", I);
      Server.m_Service = Service;
      Server.m_Address = "127.90.9.9";
      Server.m_PeerPort = static_cast<std::uint16_t>(9000 + I);
      m_Directory.announced(Server);
    }
    // Sound answers, so that a new part is known to be rare.
    for (int I = 0; I < 100; ++I) {
      const auto Request = begin({"all", fmt::format("s{}", I)});
      m_Guard->answered(Request);
      m_Guard->end(Request);
    }
  }

  CrashGuard::Number begin(std::vector<std::string> Parts) {
    std::vector<SuspectId> Suspects;
    Suspects.reserve(Parts.size());
    for (std::string &Part : Parts)
      Suspects.push_back({SuspectKind::PromptPart, std::move(Part)});
    return watch(std::move(Suspects));
  }
  // A request without a prompt.
  CrashGuard::Number beginPlain(const std::string &Digest) {
    return watch({{SuspectKind::Request, Digest}});
  }
  CrashGuard::Number watch(std::vector<SuspectId> Suspects) {
    return m_Guard->begin(
        {Service, std::move(Suspects), m_Executor,
         [this](SuspectState, const std::string &) { ++m_HeldCalls; }});
  }
  CrashGuard::Number send(std::vector<std::string> Parts,
                          const BackendTarget &To) {
    const auto Request = begin(std::move(Parts));
    m_Guard->attemptSent(Request, To);
    return Request;
  }
  CrashGuard::Number sendPlain(const std::string &Digest,
                               const BackendTarget &To) {
    const auto Request = beginPlain(Digest);
    m_Guard->attemptSent(Request, To);
    return Request;
  }
  // Waits until a crash has been recorded, and returns the news of it.
  schema::LoadReport crashNews() {
    schema::LoadReport Report;
    for (int I = 0; I < 1000 && Report.crashes_size() == 0; ++I) {
      std::this_thread::sleep_for(1ms);
      m_Guard->addNews(Report);
    }
    REQUIRE(Report.crashes_size() == 1);
    return Report;
  }
  void lose(CrashGuard::Number Request) {
    std::promise<void> Known;
    m_Guard->connectionLost(Request, [&] { Known.set_value(); });
    REQUIRE(Known.get_future().wait_for(5s) == std::future_status::ready);
    m_Guard->attemptEnded(Request);
  }
  bool allows(CrashGuard::Number Request, bool Reserve = false) {
    return m_Guard->decide(Request, Reserve).m_Allowed;
  }
  void tell(Gateway &Other) {
    schema::LoadReport Report;
    m_Guard->addNews(Report);
    Other.m_Guard->merge(Report);
  }

  EventLog m_Events;
  MetricRegistry m_Registry;
  GatewayMetrics m_Metrics;
  MembershipDirectory m_Directory;
  HttpClients m_Clients;
  std::shared_ptr<CrashGuard> m_Guard;
  boost::asio::any_io_executor m_Executor;
  std::atomic<int> m_HeldCalls{0};
};

struct Fixture {
  Fixture()
      : m_Workers(1), m_Engine(m_Workers, {},
                               [this](const std::shared_ptr<HttpExchange> &E) {
                                 onProbe(E);
                               }),
        m_Probe(NAMED_ALLOW_CALL(m_Protocol, livenessProbe())
                    .RETURN(HttpRequest{"GET", "/", {}, {}, {}})),
        m_First(m_Workers, m_Protocol, 1), m_Second(m_Workers, m_Protocol, 2) {
    m_Engine.listen(EngineAddress, 0).value();
    m_Workers.start();
  }
  ~Fixture() { m_Workers.stop(); }

  void onProbe(const std::shared_ptr<HttpExchange> &Exchange) {
    if (m_HoldsProbe)
      m_HeldProbe.set_value(Exchange);
    else
      Exchange->respond({{200, {}}, m_ProbeBody});
  }
  BackendTarget running() const {
    return {"running", Service, "a", {EngineAddress, m_Engine.port()}, 1};
  }
  static BackendTarget ended(const std::string &Name) {
    return {Name, Service, "a", {EndedAddress, 9}, 1};
  }
  ServerLiveness livenessOf(const BackendTarget &Target) {
    std::promise<ServerLiveness> Known;
    m_First.m_Guard->verifyRunning(
        Target, m_First.m_Executor,
        [&](ServerLiveness Found) { Known.set_value(Found); });
    return Known.get_future().get();
  }
  bool verify(const BackendTarget &Target) {
    return livenessOf(Target) != ServerLiveness::Ended;
  }

  std::string m_ProbeBody = "{}";
  // The engine keeps its next probe without an answer.
  std::atomic<bool> m_HoldsProbe{false};
  std::promise<std::shared_ptr<HttpExchange>> m_HeldProbe;
  WorkerPool m_Workers;
  HttpServer m_Engine;
  MockProtocol m_Protocol;
  std::unique_ptr<trompeloeil::expectation> m_Probe;
  Gateway m_First;
  Gateway m_Second;
};

} // namespace

TEST_CASE("a lost connection to a server that runs implicates no part") {
  Fixture F;
  F.m_First.lose(F.m_First.send({"all", "bad"}, F.running()));
  CHECK(F.m_First.allows(F.m_First.begin({"all", "bad"})));
}

TEST_CASE("a server that ended implicates new parts, at all gateways") {
  Fixture F;
  const auto Waiting = F.m_Second.begin({"all", "bad"});
  F.m_First.lose(F.m_First.send({"all", "bad"}, Fixture::ended("e1")));
  CHECK_FALSE(F.m_First.allows(F.m_First.begin({"all", "bad"})));
  CHECK(F.m_First.allows(F.m_First.begin({"all", "s1"})));
  F.m_First.tell(F.m_Second);
  CHECK_FALSE(F.m_Second.allows(Waiting));
  CHECK(F.m_Second.allows(F.m_Second.begin({"all", "s1"})));
  for (int I = 0; I < 1000 && F.m_Second.m_HeldCalls == 0; ++I)
    std::this_thread::sleep_for(1ms);
  CHECK(F.m_Second.m_HeldCalls == 1);
}

TEST_CASE("a gateway that starts learns which parts are held") {
  Fixture F;
  F.m_First.lose(F.m_First.send({"all", "bad"}, Fixture::ended("e1")));
  schema::LoadReport All;
  F.m_First.m_Guard->addAll(All);
  Gateway Third(F.m_Workers, F.m_Protocol, 2);
  Third.m_Guard->merge(All);
  CHECK_FALSE(Third.allows(Third.begin({"all", "bad"})));
}

TEST_CASE("one gateway tries one request on probation, its answer frees the "
          "part everywhere") {
  Fixture F;
  F.m_First.lose(F.m_First.send({"all", "bad"}, Fixture::ended("e1")));
  F.m_First.tell(F.m_Second);
  RuntimeClock::pause();
  RuntimeClock::advance(11s);
  const auto A = F.m_First.begin({"all", "bad"});
  const auto B = F.m_Second.begin({"all", "bad"});
  const bool FirstTries = F.m_First.allows(A);
  CHECK(F.m_Second.allows(B) != FirstTries);
  Gateway &Trying = FirstTries ? F.m_First : F.m_Second;
  Gateway &Other = FirstTries ? F.m_Second : F.m_First;
  const auto Trial = FirstTries ? A : B;
  CHECK(Trying.allows(Trial, true));
  CHECK_FALSE(Trying.allows(Trying.begin({"all", "bad"})));
  Trying.m_Guard->attemptSent(Trial, F.running());
  Trying.m_Guard->answered(Trial);
  Trying.m_Guard->end(Trial);
  Trying.tell(Other);
  CHECK(Trying.allows(Trying.begin({"all", "bad"})));
  CHECK(Other.allows(Other.begin({"all", "bad"})));
  RuntimeClock::resume();
}

TEST_CASE("a server that gave no sign of life for a while counts as running "
          "once it answers") {
  Fixture F;
  F.m_HoldsProbe = true;
  F.m_First.lose(F.m_First.send({"all", "x"}, F.running()));
  CHECK_FALSE(F.m_First.allows(F.m_First.begin({"all", "x"})));
  F.m_HoldsProbe = false;
  CHECK(F.verify(F.running()));
  CHECK_FALSE(F.verify(Fixture::ended("e1")));
}

TEST_CASE("a request at one crash is sent again at once, one at two crashes "
          "that different gateways saw is held at both") {
  Fixture F;
  const auto Request = F.m_First.sendPlain("bad", Fixture::ended("e1"));
  F.m_First.lose(Request);
  CHECK(F.m_First.allows(Request));
  F.m_Second.m_Guard->merge(F.m_First.crashNews());
  CHECK(F.m_First.allows(F.m_First.beginPlain("bad")));
  CHECK(F.m_Second.allows(F.m_Second.beginPlain("bad")));
  RuntimeClock::pause();
  RuntimeClock::advance(3s);
  const auto Again = F.m_Second.sendPlain("bad", Fixture::ended("e2"));
  F.m_Second.lose(Again);
  // Its end is known by now, so it isn't sent to another server.
  CHECK_FALSE(F.m_Second.allows(Again));
  F.m_Second.tell(F.m_First);
  CHECK_FALSE(F.m_First.allows(F.m_First.beginPlain("bad")));
  CHECK(F.m_First.allows(F.m_First.beginPlain("sound")));
  RuntimeClock::resume();
}

TEST_CASE("a gateway that starts learns of a crash that holds no request yet") {
  Fixture F;
  F.m_First.lose(F.m_First.sendPlain("bad", Fixture::ended("e1")));
  F.m_First.crashNews();
  schema::LoadReport All;
  F.m_First.m_Guard->addAll(All);
  Gateway Third(F.m_Workers, F.m_Protocol, 2);
  Third.m_Guard->merge(All);
  RuntimeClock::pause();
  RuntimeClock::advance(3s);
  Third.lose(Third.sendPlain("bad", Fixture::ended("e2")));
  CHECK_FALSE(Third.allows(Third.beginPlain("bad")));
  RuntimeClock::resume();
}

TEST_CASE("gateways that were cut off from each other hold a request once they "
          "hear of each other's crashes") {
  Fixture F;
  F.m_First.lose(F.m_First.sendPlain("bad", Fixture::ended("e1")));
  F.m_First.crashNews();
  RuntimeClock::pause();
  RuntimeClock::advance(3s);
  F.m_Second.lose(F.m_Second.sendPlain("bad", Fixture::ended("e2")));
  F.m_Second.crashNews();
  CHECK(F.m_First.allows(F.m_First.beginPlain("bad")));
  CHECK(F.m_Second.allows(F.m_Second.beginPlain("bad")));
  // Their streams are open again.
  schema::LoadReport First;
  schema::LoadReport Second;
  F.m_First.m_Guard->addAll(First);
  F.m_Second.m_Guard->addAll(Second);
  F.m_First.m_Guard->merge(Second);
  F.m_Second.m_Guard->merge(First);
  CHECK_FALSE(F.m_First.allows(F.m_First.beginPlain("bad")));
  CHECK_FALSE(F.m_Second.allows(F.m_Second.beginPlain("bad")));
  RuntimeClock::resume();
}

// Guards against an answer that ended with its server and is taken for whole,
// because the server had answered an earlier probe just before.
TEST_CASE("a probe that was sent before a connection ended doesn't show that "
          "its server still runs") {
  Fixture F;
  F.m_HoldsProbe = true;
  std::promise<bool> First;
  std::promise<bool> Second;
  const auto Verify = [&](std::promise<bool> &Result) {
    F.m_First.m_Guard->verifyRunning(
        F.running(), F.m_First.m_Executor, [&Result](ServerLiveness Found) {
          Result.set_value(Found != ServerLiveness::Ended);
        });
  };
  Verify(First);
  const auto Probe = F.m_HeldProbe.get_future().get();
  F.m_Engine.closeListener();
  Verify(Second);
  boost::asio::post(Probe->executor(), [Probe] {
    Probe->respond({{200, {}}, "{}"});
  });
  CHECK(First.get_future().get());
  CHECK_FALSE(Second.get_future().get());
}

// Guards against a server that has started again and is taken for the run
// before.
TEST_CASE("a server that names its incarnation answers for no other one") {
  Fixture F;
  CHECK(F.livenessOf(F.running()) == ServerLiveness::Answering);
  F.m_ProbeBody = "1";
  CHECK(F.livenessOf(F.running()) == ServerLiveness::Running);
  F.m_ProbeBody = "2";
  CHECK(F.livenessOf(F.running()) == ServerLiveness::Ended);
  // A crash, although something answers.
  F.m_First.lose(F.m_First.send({"all", "bad"}, F.running()));
  CHECK_FALSE(F.m_First.allows(F.m_First.begin({"all", "bad"})));
}

TEST_CASE("a probe's answer without end shows that something answers") {
  Fixture F;
  F.m_ProbeBody = std::string(100'000, '1');
  CHECK(F.livenessOf(F.running()) == ServerLiveness::Answering);
}

// Guards against an answer that only its connection ended and that counts as
// whole by the response of a server in trouble.
TEST_CASE("a probe's invalid response shows neither that its server runs nor "
          "that it has ended") {
  const std::string Invalid = GENERATE(
      std::string("HTTP/1.1 000 Trouble\r\nContent-Length: 1\r\n\r\n1"),
      std::string("HTTP/1.1 999 Trouble\r\nContent-Length: 1\r\n\r\n1"),
      std::string("HTTP/1.1 200 OK\r\nX A: v\r\nContent-Length: 1\r\n\r\n1"),
      std::string("HTTP/1.1 200 OK\r\nX-A: v\r\n Content-Length: 1\r\n\r\n1"));
  INFO(Invalid);
  Fixture F;
  const BrokenServer Server(EngineAddress, 0, [&](const std::string &) {
    return BrokenAnswer{Invalid};
  });
  const BackendTarget Target{
      "troubled", Service, "a", {EngineAddress, Server.port()}, 1};
  CHECK(F.livenessOf(Target) == ServerLiveness::Unknown);
  F.m_First.lose(F.m_First.send({"all", "bad"}, Target));
  CHECK(F.m_First.allows(F.m_First.begin({"all", "bad"})));
}

TEST_CASE("a probe is sent again after an invalid response") {
  Fixture F;
  std::atomic<unsigned> Probes{0};
  const BrokenServer Server(EngineAddress, 0, [&](const std::string &) {
    return BrokenAnswer{++Probes < 3
                            ? "HTTP/1.1 000 Trouble\r\n\r\n"
                            : "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"};
  });
  CHECK(F.livenessOf(
            {"troubled", Service, "a", {EngineAddress, Server.port()}, 1}) ==
        ServerLiveness::Running);
}
