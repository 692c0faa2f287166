// Gateways as processes, and the configuration that gives them routes for
// streams, for plain requests and for plain requests that aren't idempotent.
#ifndef MANGOCART_TESTS_GATEWAYPROCESS_H
#define MANGOCART_TESTS_GATEWAYPROCESS_H

#include "Http/HttpClient.h"
#include "Processes/ChildProcess.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>

namespace mangocart::test {

struct GatewayProcessOptions {
  std::string m_Name;
  std::string m_Zone;
  // Where callers' requests arrive.
  HttpTarget m_Caller;
  // Control endpoints of the voters, as a list of TOML strings.
  std::string m_Seeds;
  // Further lines of the settings file, each with its line end.
  std::string m_MoreSettings;
};

// Where callers' requests arrive at a gateway with this address.
HttpTarget callerEndpoint(std::string Address);

// Settings and output are written to files in the folder.
std::unique_ptr<ChildProcess>
startGatewayProcess(const GatewayProcessOptions &Options,
                    const std::filesystem::path &Folder);

// Whether the gateway answers its health check at all, or as ready.
bool doesGatewayAnswer(const HttpTarget &Caller);
bool isGatewayReady(const HttpTarget &Caller);

// The same content under each version. ColdRate is the service's, 0 for none.
std::string engineConfiguration(std::uint64_t Version, double ColdRate = 0.0);

// Sends one request and waits for its response; status 0 without one.
HttpResponse call(const HttpTarget &To, HttpRequest Request,
                  std::chrono::milliseconds Deadline = std::chrono::seconds(3));

// Sends the configuration to a voter; returns the status of the answer.
unsigned
putConfiguration(const HttpTarget &Voter, std::string Document,
                 std::chrono::milliseconds Deadline = std::chrono::seconds(3));

} // namespace mangocart::test

#endif
