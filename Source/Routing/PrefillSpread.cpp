#include "Routing/PrefillSpread.h"

#include "Core/Hash.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <string_view>
#include <utility>

namespace mangocart {

namespace {

// Ranks in the part of a gateway. At least two, so that there is a choice
// between ranks that the gateway knows well if there are more gateways than
// ranks.
constexpr std::size_t MinPart = 2;

std::size_t partSize(std::size_t Ranks, std::size_t Gateways) {
  return std::min(Ranks, std::max(MinPart, (Ranks + Gateways - 1) / Gateways));
}

// Passes until the prompt is prefilled, then requests.
std::pair<std::uint64_t, std::uint64_t> cost(const PrefillRank &Rank,
                                             const PrefillRequest &Request) {
  const std::uint64_t Tokens =
      Rank.m_PendingPromptTokens + Request.m_PromptTokens;
  return {(Tokens + Request.m_TokensPerPass - 1) / Request.m_TokensPerPass,
          Rank.m_Requests};
}

} // namespace

std::uint64_t prefillTokensPerPass(std::uint32_t TokensPerStep,
                                   std::uint32_t StepsPerPass,
                                   double TokensPerSecond, double StepMs) {
  if (StepsPerPass == 0 || !(TokensPerSecond > 0.0))
    return 0;
  if (TokensPerStep > 0)
    return std::uint64_t{TokensPerStep} * StepsPerPass;
  constexpr double MsPerSecond = 1000.0;
  constexpr double MaxTokens = std::numeric_limits<std::uint32_t>::max();
  const double Tokens = TokensPerSecond * StepMs * StepsPerPass / MsPerSecond;
  return static_cast<std::uint64_t>(std::clamp(Tokens, 1.0, MaxTokens));
}

void addPromptTokens(PromptTokensByServer &Pending, std::uint64_t Server,
                     std::uint64_t Tokens) {
  if (Tokens == 0)
    return;
  constexpr std::uint64_t Max = std::numeric_limits<std::uint32_t>::max();
  std::uint32_t &Count = Pending[Server];
  Count = static_cast<std::uint32_t>(Count + std::min(Tokens, Max - Count));
}

void removePromptTokens(PromptTokensByServer &Pending, std::uint64_t Server,
                        std::uint64_t Tokens) {
  const auto Found = Pending.find(Server);
  if (Found == Pending.end())
    return;
  if (Found->second <= Tokens)
    Pending.erase(Found);
  else
    Found->second -= static_cast<std::uint32_t>(Tokens);
}

GatewayPosition positionOf(const std::string &Self,
                           const std::vector<std::string> &All) {
  if (std::find(All.begin(), All.end(), Self) == All.end())
    return {};
  const auto KeyOf = [](const std::string &Name) {
    return std::pair(hash64(Name), std::string_view(Name));
  };
  const auto Before =
      std::count_if(All.begin(), All.end(), [&](const std::string &Each) {
        return KeyOf(Each) < KeyOf(Self);
      });
  return {static_cast<std::size_t>(Before), All.size()};
}

std::size_t chooseRank(std::span<const PrefillRank> Ranks,
                       const PrefillRequest &Request, Random &Generator) {
  const std::size_t Count = Ranks.size();
  const GatewayPosition &Own = Request.m_Gateway;
  const bool HasPart = Own.m_Count > 0;
  const std::size_t Begin =
      HasPart ? Count * (Own.m_Index % Own.m_Count) / Own.m_Count : 0;
  const std::size_t Compared = 1 + (HasPart ? partSize(Count, Own.m_Count) : 1);
  std::optional<std::size_t> Best;
  std::size_t Equal = 0;
  for (std::size_t I = 0; I < Compared; ++I) {
    const bool IsRandom = !HasPart || I + 1 == Compared;
    const std::size_t Index =
        IsRandom ? uniform(Generator, 0, Count - 1) : (Begin + I) % Count;
    const auto Order =
        Best ? cost(Ranks[Index], Request) <=> cost(Ranks[*Best], Request)
             : std::strong_ordering::less;
    if (Order > 0)
      continue;
    Equal = Order < 0 ? 1 : Equal + 1;
    if (uniform(Generator, 1, Equal) == 1)
      Best = Index;
  }
  return *Best;
}

} // namespace mangocart
