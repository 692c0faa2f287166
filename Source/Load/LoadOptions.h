// Command line of mangocart-load, described in docs/LOAD.md.
#ifndef MANGOCART_LOAD_LOADOPTIONS_H
#define MANGOCART_LOAD_LOADOPTIONS_H

#include "Core/ExitCode.h"
#include "Http/HttpClient.h"

#include <string>
#include <variant>
#include <vector>

namespace mangocart {

struct LoadCustomer {
  std::string m_Name;
  // Relative to the sum of all weights.
  std::uint64_t m_Weight = 1;

  bool operator==(const LoadCustomer &) const = default;
};

enum class LoadOutput { Text, Json };

struct LoadOptions {
  std::vector<HttpTarget> m_Targets;
  // Targets of bookings; parsing sets them to m_Targets if none are given.
  std::vector<HttpTarget> m_BookingTargets;
  // Closed loop: number of callers; each sends its next request after a
  // response.
  std::size_t m_Callers = 16;
  // Open loop: requests per second, independent of responses; 0: closed loop.
  double m_Rate = 0.0;
  std::uint64_t m_Requests = 1000;
  std::uint64_t m_DraftWeight = 1;
  std::uint64_t m_BookingWeight = 0;
  std::vector<LoadCustomer> m_Customers{{"customer", 1}};
  std::uint64_t m_Seed = 1;
  // Makes keys unique among runs against one deployment.
  std::string m_RunName;
  // Share of bookings resent with the same key after their response.
  double m_ResendProbability = 0.0;
  // Share of bookings sent twice concurrently with the same key.
  double m_RaceProbability = 0.0;
  std::uint64_t m_MaxTokens = 16;
  std::string m_DraftPath = "/v1/drafts";
  std::string m_BookingPath = "/bookings";
  Duration m_Deadline = std::chrono::seconds(30);
  std::size_t m_Workers = 2;
  // The targets are stand-ins, whose responses have no Mangocart-Outcome
  // header.
  bool m_Direct = false;
  std::vector<std::string> m_RunLogs;
  LoadOutput m_Output = LoadOutput::Text;
};

// Returns an exit code if the command line is invalid or only requests help or
// the version.
std::variant<LoadOptions, ExitCode>
parseLoadOptions(int ArgumentCount, const char *const *Arguments);

} // namespace mangocart

#endif
