// Settings and health checks of gateways, and their configuration.
#include "Gateways/GatewayProcess.h"

#include <boost/asio/io_context.hpp>
#include <fmt/format.h>

#include <fstream>

namespace mangocart::test {

namespace {

constexpr std::uint16_t CallerPort = 8227;
constexpr std::uint16_t HealthPort = 8220;

// VERSION and COLD stand for the values.
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

void replaceFirst(std::string &Text, std::string_view Name,
                  const std::string &Value) {
  Text.replace(Text.find(Name), Name.size(), Value);
}

unsigned healthStatus(const HttpTarget &Caller) {
  return call({Caller.m_Address, HealthPort},
              {"GET", "/ready", {{"Host", "g"}}, {}, {}})
      .m_Head.m_Status;
}

} // namespace

HttpTarget callerEndpoint(std::string Address) {
  return {std::move(Address), CallerPort};
}

std::unique_ptr<ChildProcess>
startGatewayProcess(const GatewayProcessOptions &Options,
                    const std::filesystem::path &Folder) {
  const std::string File = (Folder / (Options.m_Name + ".toml")).string();
  std::ofstream(File) << fmt::format(
      "name = \"{0}\"\navailability_zone = \"{1}\"\n"
      "caller_endpoint = \"{2}:{3}\"\nhealth_endpoint = \"{2}:{4}\"\n"
      "peer_port = 7340\nmetrics_port = 9464\nseeds = [{5}]\n"
      "announce_interval_ms = 1200\nretry_ratio = 0.2\nretry_slack = 80\n{6}",
      Options.m_Name, Options.m_Zone, Options.m_Caller.m_Address, CallerPort,
      HealthPort, Options.m_Seeds, Options.m_MoreSettings);
  return std::make_unique<ChildProcess>(
      programPath("mangocart-gateway"),
      std::vector<std::string>{"--settings", File},
      (Folder / (Options.m_Name + ".log")).string());
}

bool doesGatewayAnswer(const HttpTarget &Caller) {
  return healthStatus(Caller) != 0;
}

bool isGatewayReady(const HttpTarget &Caller) {
  return healthStatus(Caller) == 200;
}

std::string engineConfiguration(std::uint64_t Version, double ColdRate) {
  std::string Text = Configuration;
  replaceFirst(Text, "VERSION", std::to_string(Version));
  replaceFirst(
      Text, "COLD",
      ColdRate > 0.0
          ? fmt::format(R"("cold_start_s":60,"cold_per_s":{},)", ColdRate)
          : "");
  return Text;
}

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

unsigned putConfiguration(const HttpTarget &Voter, std::string Document,
                          std::chrono::milliseconds Deadline) {
  return call(Voter,
              {"PUT",
               "/config",
               {{"Host", "voter"}, {"Content-Type", "application/json"}},
               std::move(Document),
               {}},
              Deadline)
      .m_Head.m_Status;
}

} // namespace mangocart::test
