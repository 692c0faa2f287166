// Derives tokens from a hash of the prompt and the index.
#include "Standin/DraftTokens.h"

#include "Core/Hash.h"

#include <fmt/format.h>

namespace mangocart {

namespace {
constexpr std::uint64_t TokenValues = 100000;
} // namespace

std::string draftToken(std::string_view Prompt, std::uint64_t Index) {
  return fmt::format("t{}", hash64(Prompt, Index) % TokenValues);
}

std::string draftTokenData(std::string_view Prompt, std::uint64_t Index) {
  return fmt::format(R"({{"index":{},"token":"{}"}})", Index,
                     draftToken(Prompt, Index));
}

std::string checksumText(std::string_view Body) {
  return fmt::format("{:016x}", hash64(Body));
}

} // namespace mangocart
