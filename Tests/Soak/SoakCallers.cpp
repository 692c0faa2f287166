// Connections of the callers, and their checks.
#include "Soak/SoakCallers.h"

#include "Gateways/GatewayProcess.h"
#include "Soak/ReplicaFleet.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>

namespace mangocart::test {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Callers = 16;
constexpr auto CallerTimeout = 6s;
constexpr std::uint64_t MaxBodyBytes = std::uint64_t{1024} * 1024;
constexpr auto RequestGap = 30ms;
constexpr auto OperatorGap = 120ms;

// One kept connection, used by one thread.
class CallerConnection {
public:
  explicit CallerConnection(const HttpTarget &To) : m_Stream(m_Context) {
    m_Stream.expires_after(1s);
    m_Stream.async_connect({asio::ip::make_address(To.m_Address), To.m_Port},
                           [this](error_code Error) { m_Error = Error; });
    run();
  }

  struct Answer {
    unsigned m_Status = 0;
    std::string m_Body;
    bool m_IsWhole = false;
  };

  // The connection is of no use any more once isOpen() is false.
  Answer send(const http::request<http::string_body> &Request) {
    Answer Got;
    m_Stream.expires_after(CallerTimeout);
    http::async_write(m_Stream, Request, [this](error_code Error, std::size_t) {
      m_Error = Error;
    });
    run();
    if (m_Error)
      return Got;
    http::response_parser<http::string_body> Parser;
    Parser.body_limit(MaxBodyBytes);
    http::async_read(
        m_Stream, m_Buffer, Parser,
        [this](error_code Error, std::size_t) { m_Error = Error; });
    run();
    if (Parser.is_header_done()) {
      Got.m_Status = Parser.get().result_int();
      Got.m_Body = Parser.get().body();
      Got.m_IsWhole = !m_Error;
      m_IsKept = Parser.get().keep_alive();
    }
    return Got;
  }
  bool isOpen() const { return !m_Error && m_IsKept; }

private:
  void run() {
    m_Context.restart();
    m_Context.run();
  }

  asio::io_context m_Context;
  boost::beast::tcp_stream m_Stream;
  boost::beast::flat_buffer m_Buffer;
  error_code m_Error;
  bool m_IsKept = true;
};

std::string wholeStream(const std::string &Id) {
  std::string All;
  for (unsigned I = 1; I <= SoakEvents; ++I)
    All += soakEvent(Id, I);
  return All;
}

} // namespace

std::uint64_t versionOf(const std::string &Document) {
  constexpr std::string_view Name(R"("version":)");
  const std::size_t At = Document.find(Name);
  return At == std::string::npos
             ? 0
             : std::strtoull(Document.c_str() + At + Name.size(), nullptr, 10);
}

SoakCallers::SoakCallers(const SoakSystem &System, std::uint64_t Seed,
                         Findings &Found)
    : m_System(System), m_Found(Found) {
  for (unsigned I = 0; I < Callers; ++I)
    m_Threads.emplace_back([this, I, Seed] { runCaller(I, Seed); });
  m_Threads.emplace_back([this, Seed] { runOperator(Seed); });
}

void SoakCallers::stop() {
  m_IsStopping = true;
  m_Threads.clear();
}

void SoakCallers::runCaller(unsigned Number, std::uint64_t Seed) {
  Random Generator(Seed * 1000 + Number);
  std::unique_ptr<CallerConnection> Connection;
  for (unsigned I = 0; !m_IsStopping; ++I) {
    if (!Connection || !Connection->isOpen())
      Connection = std::make_unique<CallerConnection>(
          m_System.gateway(static_cast<unsigned>(
              uniform(Generator, 0, m_System.gatewayCount() - 1))));
    const std::uint64_t Kind = uniform(Generator, 0, 2);
    const std::string Id = fmt::format("q{}-{}-{}", Number, I, Seed);
    http::request<http::string_body> Request(http::verb::post,
                                             Kind == 0   ? "/stream/x"
                                             : Kind == 1 ? "/plain/x"
                                                         : "/unsafe/x",
                                             11);
    Request.set(http::field::host, "test.example");
    Request.set("X-Mangocart-Request-Id", Id);
    Request.set("X-Mangocart-Deadline-Ms", "4000");
    Request.body() = std::string(uniform(Generator, 0, 2000), 'b');
    Request.prepare_payload();
    {
      const std::lock_guard Lock(m_Mutex);
      m_Requests[Id] = {SoakClock::now(), Kind == 2, 0};
    }
    const auto Got = Connection->send(Request);
    {
      const std::lock_guard Lock(m_Mutex);
      m_Requests[Id].m_Status = Got.m_Status;
    }
    check(Id, Kind == 0, Got.m_Status, Got.m_Body, Got.m_IsWhole);
    std::this_thread::sleep_for(RequestGap);
  }
}

void SoakCallers::check(const std::string &Id, bool IsStream, unsigned Status,
                        const std::string &Body, bool IsWhole) {
  if (Status != 200)
    return;
  const std::string Expected = IsStream ? wholeStream(Id) : soakBody(Id);
  if (!Expected.starts_with(Body))
    m_Found.add(fmt::format("the answer to {} has other bytes: {}", Id,
                            Body.substr(0, 200)));
  else if (IsWhole && Body.size() != Expected.size())
    m_Found.add(fmt::format("the answer to {} ends as complete after {} of {} "
                            "bytes",
                            Id, Body.size(), Expected.size()));
}

void SoakCallers::runOperator(std::uint64_t Seed) {
  Random Generator(Seed * 1000 + Callers);
  std::uint64_t Version = SoakSystem::FirstVersion;
  const auto Voter = [&] {
    return m_System.control(
        static_cast<unsigned>(uniform(Generator, 0, SoakSystem::Voters - 1)));
  };
  while (!m_IsStopping) {
    ++Version;
    if (putConfiguration(Voter(), engineConfiguration(Version), 1s) == 200)
      m_Acknowledged = Version;
    const std::uint64_t Before = m_Acknowledged;
    const HttpResponse Read =
        call(Voter(), {"GET", "/config", {{"Host", "voter"}}, {}, {}}, 1s);
    if (Read.m_Head.m_Status == 200 && versionOf(Read.m_Body) < Before)
      m_Found.add(fmt::format("version {} was read after version {} had been "
                              "acknowledged",
                              versionOf(Read.m_Body), Before));
    std::this_thread::sleep_for(OperatorGap);
  }
}

} // namespace mangocart::test
