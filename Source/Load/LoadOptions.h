// Command line of mangocart-load. docs/LOAD.md has the long form.
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
  // Its requests are this share of the sum of all weights.
  std::uint64_t m_Weight = 1;

  bool operator==(const LoadCustomer &) const = default;
};

enum class LoadOutput { Text, Json };

struct LoadOptions {
  std::vector<HttpTarget> m_Targets;
  // Where bookings go; empty: to m_Targets as well.
  std::vector<HttpTarget> m_BookingTargets;
  // Closed loop: so many callers, each sends its next request after an answer.
  std::size_t m_Callers = 16;
  // Open loop: requests a second whatever the answers do; 0: closed loop.
  double m_Rate = 0.0;
  std::uint64_t m_Requests = 1000;
  std::uint64_t m_DraftParts = 1;
  std::uint64_t m_BookingParts = 0;
  std::vector<LoadCustomer> m_Customers{{"customer", 1}};
  std::uint64_t m_Seed = 1;
  // Makes keys unique among runs against one deployment.
  std::string m_RunName;
  // Share of bookings sent again with the same key after their answer.
  double m_ResendProbability = 0.0;
  // Share of bookings sent twice at the same time with the same key.
  double m_RaceProbability = 0.0;
  std::uint64_t m_MaxTokens = 16;
  std::string m_DraftPath = "/v1/drafts";
  std::string m_BookingPath = "/bookings";
  Duration m_Deadline = std::chrono::seconds(30);
  std::size_t m_Workers = 2;
  // The targets are stand-ins, whose answers carry no Mangocart-Outcome.
  bool m_Direct = false;
  std::vector<std::string> m_JudgeLogs;
  LoadOutput m_Output = LoadOutput::Text;
};

// An exit code when the command line alone decides.
std::variant<LoadOptions, ExitCode>
parseLoadOptions(int ArgumentCount, const char *const *Arguments);

} // namespace mangocart

#endif
