// Spreads prompts over the ranks of rank groups by the prompt tokens that wait
// for prefill. A rank prefills a limited number of prompt tokens in a pass, in
// order of arrival, so a prompt behind others at its rank waits for further
// passes, while other ranks may have none. Pure functions over plain structs.
#ifndef MANGOCART_ROUTING_PREFILLSPREAD_H
#define MANGOCART_ROUTING_PREFILLSPREAD_H

#include "Core/Random.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace mangocart {

// Pending prompt tokens, by hash64() of the backend server's name: those of
// requests that were sent to it and whose answers have not begun. Servers
// without any have no entry.
using PromptTokensByServer = std::map<std::uint64_t, std::uint32_t>;

// Prompt tokens that a rank prefills in a pass at most: those of all steps of
// the pass. If the limit of a step is unknown (0), what it prefills in the time
// of the decode steps. Returns 0 if the engine has no prompts or no passes.
std::uint64_t prefillTokensPerPass(std::uint32_t TokensPerStep,
                                   std::uint32_t StepsPerPass,
                                   double TokensPerSecond, double StepMs);

// Adds or removes the prompt tokens of a request; counts stay within their type
// and don't fall below 0, whatever number a caller declares.
void addPromptTokens(PromptTokensByServer &Pending, std::uint64_t Server,
                     std::uint64_t Tokens);
void removePromptTokens(PromptTokensByServer &Pending, std::uint64_t Server,
                        std::uint64_t Tokens);

// Place of this gateway among all gateways. Unknown if the count is 0.
struct GatewayPosition {
  std::size_t m_Index = 0;
  std::size_t m_Count = 0;

  bool operator==(const GatewayPosition &) const = default;
};

// The place in the order of the hashes of their names, so that gateways of one
// zone, which may fail or have much load together, aren't next to each other.
// Unknown if Self is not among All.
GatewayPosition positionOf(const std::string &Self,
                           const std::vector<std::string> &All);

struct PrefillRequest {
  std::uint64_t m_PromptTokens = 0;
  // At least 1.
  std::uint64_t m_TokensPerPass = 1;
  GatewayPosition m_Gateway;

  bool operator==(const PrefillRequest &) const = default;
};

// A rank that may take the request, by all gateways' counts.
struct PrefillRank {
  std::uint64_t m_PendingPromptTokens = 0;
  std::uint64_t m_Requests = 0;

  auto operator<=>(const PrefillRank &) const = default;
};

// Returns the index of the rank where the prompt is prefilled in the fewest
// passes, among these the one with the fewest requests; equal ones at random.
// Ranks must not be empty, and in an order that all gateways share.
//
// Compared are the ranks of the gateway's own part and one random rank. What
// other gateways have sent since their last reports is unknown; if all gateways
// compared all ranks, those between two reports would choose the same few. Of
// the ranks of its part a gateway knows most itself. The random rank balances
// parts of unequal load, also of gateways that have failed. A gateway without a
// position compares two random ranks.
std::size_t chooseRank(std::span<const PrefillRank> Ranks,
                       const PrefillRequest &Request, Random &Generator);

} // namespace mangocart

#endif
