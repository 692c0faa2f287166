// Settings, processes and the configuration of the deployment.
#include "Gateways/GatewayDeployment.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace mangocart::test {

namespace {

constexpr std::uint16_t ControlPort = 8229;
constexpr std::uint16_t CallerPort = 8227;
constexpr std::uint16_t HealthPort = 8220;
constexpr std::chrono::seconds StartTimeout{20};

constexpr const char *Configuration = R"({"version":VERSION,"routes":[
{"name":"streams","host":"test.example","path_prefix":"/stream/",
 "route_type":"stream","timeout_ms":8000,"target_latency_ms":400,"priority":1,
 "service":"engines","max_attempts":2,"public":true,"session_affinity":true,
 "resumable":true,"gap_target_ms":120},
{"name":"plain","host":"test.example","path_prefix":"/plain/",
 "route_type":"idempotent","timeout_ms":4000,"target_latency_ms":400,
 "priority":1,"service":"engines","max_attempts":2,"public":true},
{"name":"unsafe","host":"test.example","path_prefix":"/unsafe/",
 "route_type":"non_idempotent","timeout_ms":4000,"target_latency_ms":400,
 "priority":1,"service":"engines","max_attempts":2,"public":true}],
"services":[{"name":"engines","health_path":"/health","max_connections":300,
 "protocol":"h1","tls":false,COLD"engine":{"slots":8,"kv_capacity_tokens":372000,
 "models":[{"name":"m"}],"step_ms":5.85,"per_seq_ms":0.355,
 "read_per_s":61200.0,"usual":{"prompt":835,"answer":139}}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
 "header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]})";

template <class Predicate> bool waitFor(Predicate Condition) {
  const auto Deadline = std::chrono::steady_clock::now() + StartTimeout;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > Deadline)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return true;
}

} // namespace

HttpResponse call(const HttpTarget &To, HttpRequest Request,
                  std::chrono::milliseconds Deadline) {
  boost::asio::io_context Context;
  HttpClient Client(Context);
  HttpResponse Response;
  Response.m_Head.m_Status = 0;
  HttpCallHandlers Handlers;
  Handlers.m_OnHead = [&](HttpHead Head) { Response.m_Head = std::move(Head); };
  Handlers.m_OnBody = [&](std::string_view Chunk) {
    Response.m_Body.append(Chunk);
  };
  Handlers.m_OnEnd = [&] { Context.stop(); };
  Handlers.m_OnError = [&](const HttpError &) {
    Response.m_Head.m_Status = 0;
    Context.stop();
  };
  const auto Call =
      Client.send(To, std::move(Request), Deadline, std::move(Handlers));
  Context.run_for(Deadline + std::chrono::seconds(1));
  return Response;
}

GatewayDeployment::GatewayDeployment(int Octet, unsigned Gateways)
    : m_Octet(Octet), m_Gateways(Gateways) {
  std::string Template =
      (std::filesystem::temp_directory_path() / "mangocart-XXXXXX").string();
  if (!::mkdtemp(Template.data()))
    throw std::runtime_error("cannot create a temporary folder");
  m_Folder = Template;
  std::filesystem::create_directories(m_Folder / "data");
}

GatewayDeployment::~GatewayDeployment() {
  m_Gateways.clear();
  m_Voter.reset();
  std::error_code Ignored;
  std::filesystem::remove_all(m_Folder, Ignored);
}

HttpTarget GatewayDeployment::voter() const {
  return {fmt::format("127.{}.0.1", m_Octet), ControlPort};
}

HttpTarget GatewayDeployment::gateway(unsigned Index) const {
  return {fmt::format("127.{}.1.{}", m_Octet, Index + 1), CallerPort};
}

std::string GatewayDeployment::engineNetwork() const {
  return fmt::format("127.{}.2", m_Octet);
}

std::string GatewayDeployment::writeSettings(const std::string &Name,
                                             const std::string &Text) const {
  std::string File = (m_Folder / (Name + ".toml")).string();
  std::ofstream(File) << Text;
  return File;
}

void GatewayDeployment::startGateway(unsigned Index) {
  const std::string Name = fmt::format("gateway-{}", Index);
  const std::string Address = gateway(Index).m_Address;
  const std::string File = writeSettings(
      Name, fmt::format("name = \"{}\"\navailability_zone = \"z{}\"\n"
                        "caller_endpoint = \"{}:{}\"\n"
                        "health_endpoint = \"{}:{}\"\npeer_port = 7340\n"
                        "metrics_port = 9464\nseeds = [\"{}:{}\"]\n"
                        "announce_interval_ms = 1200\nretry_ratio = 0.2\n"
                        "retry_slack = 80\nlog_lines_per_second = 2000\n"
                        "cold_burst_factor = 1.5\ncold_burst_slack = 5\n",
                        Name, Index % 3, Address, CallerPort, Address,
                        HealthPort, voter().m_Address, ControlPort));
  m_Gateways[Index] = std::make_unique<ChildProcess>(
      std::string(MANGOCART_PROGRAM_DIR) + "/mangocart-gateway",
      std::vector<std::string>{"--settings", File},
      (m_Folder / (Name + ".log")).string());
}

void GatewayDeployment::signalGateway(unsigned Index, int SignalNumber) {
  m_Gateways[Index]->signal(SignalNumber);
}

void GatewayDeployment::configure(unsigned Version) {
  std::string Text = Configuration;
  const std::string Name = "VERSION";
  Text.replace(Text.find(Name), Name.size(), std::to_string(Version));
  const std::string Cold = "COLD";
  Text.replace(
      Text.find(Cold), Cold.size(),
      m_ColdRate > 0.0
          ? fmt::format(R"("cold_start_s":60,"cold_per_s":{},)", m_ColdRate)
          : "");
  const HttpRequest Put{
      "PUT",
      "/config",
      {{"Host", "voter"}, {"Content-Type", "application/json"}},
      Text,
      {}};
  REQUIRE(waitFor([&] { return call(voter(), Put).m_Head.m_Status == 200; }));
}

void GatewayDeployment::startVoter() {
  const std::string File = writeSettings(
      "voter", fmt::format("name = \"voter\"\navailability_zone = \"z0\"\n"
                           "control_endpoint = \"{0}:{1}\"\npeer_port = 7340\n"
                           "metrics_port = 9464\nseeds = [\"{0}:{1}\"]\n"
                           "first_start = true\ndata_folder = \"{2}\"\n"
                           "tolerated_losses = 0\n"
                           "announce_interval_ms = 1200\n",
                           voter().m_Address, ControlPort,
                           (m_Folder / "data").string()));
  m_Voter = std::make_unique<ChildProcess>(
      std::string(MANGOCART_PROGRAM_DIR) + "/mangocart-voter",
      std::vector<std::string>{"--settings", File},
      (m_Folder / "voter.log").string());
}

void GatewayDeployment::killVoter() { m_Voter.reset(); }

void GatewayDeployment::waitUntilReady(unsigned Index) const {
  const HttpTarget Health{gateway(Index).m_Address, HealthPort};
  REQUIRE(waitFor([&] {
    return call(Health, {"GET", "/ready", {{"Host", "g"}}, {}, {}})
               .m_Head.m_Status == 200;
  }));
}

void GatewayDeployment::start() {
  startVoter();
  for (unsigned I = 0; I < gatewayCount(); ++I)
    startGateway(I);
  configure(1);
  for (unsigned I = 0; I < gatewayCount(); ++I)
    waitUntilReady(I);
}

std::string GatewayDeployment::log(unsigned Index) const {
  std::ifstream Stream(m_Folder / fmt::format("gateway-{}.log", Index));
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

} // namespace mangocart::test
