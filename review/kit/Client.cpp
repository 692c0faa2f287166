// Texts of requests and of the configuration.
#include "Client.h"

#include <algorithm>
#include <random>
#include <set>

namespace review {

std::string configurationOf(const std::vector<Route> &Routes, int Version) {
  std::string Out = "{\"version\":" + std::to_string(Version) + ",\"routes\":[";
  std::set<std::string> Services;
  for (std::size_t I = 0; I < Routes.size(); ++I) {
    const Route &Each = Routes[I];
    Services.insert(Each.m_Service);
    Out += (I ? ",{" : "{");
    Out +=
        "\"name\":\"r-" + std::to_string(I) + "\",\"host\":\"" + Each.m_Host +
        "\",\"path_prefix\":\"" + Each.m_Prefix + "\",\"route_type\":\"" +
        Each.m_Type + "\",\"timeout_ms\":" + std::to_string(Each.m_TimeoutMs) +
        ",\"target_latency_ms\":300,\"priority\":1,\"service\":\"" +
        Each.m_Service +
        "\",\"max_attempts\":" + (Each.m_Type == "non_idempotent" ? "1" : "2") +
        ",\"public\":false" +
        (Each.m_Type == "stream" ? ",\"resumable\":true,\"gap_target_ms\":"
                                   "120,\"session_affinity\":true}"
                                 : "}");
  }
  Out += "],\"services\":[";
  for (const std::string &Each : Services)
    Out += (Each == *Services.begin() ? "{" : ",{") + ("\"name\":\"" + Each) +
           "\",\"health_path\":\"/health\",\"max_connections\":110,"
           "\"protocol\":\"h1\",\"tls\":false}";
  return Out +
         "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{"
         "\"name\":\"hule930\",\"api_keys\":[\"" +
         ApiKey + "\"],\"priority\":1}]}";
}

std::string headOf(const ClientRequest &Request) {
  return "POST " + Request.m_Path + " HTTP/1.1\r\nHost: " + Request.m_Host +
         "\r\n" + "X-Mangocart-Request-Id: " + Request.m_Id +
         "\r\nX-Mangocart-Deadline-Ms: " +
         std::to_string(Request.m_DeadlineMs) +
         "\r\nX-Mangocart-Key: " + ApiKey +
         "\r\nContent-Length: " + std::to_string(Request.m_Body.size()) +
         "\r\n\r\n";
}

std::string uniquePrefix() {
  std::random_device Device;
  return std::to_string(Device());
}

} // namespace review
