// The tokens that the stand-in answers a prompt with. They depend on the prompt
// and the index only, so that any replica can resume a stream and a caller can
// tell its own answer from another's.
#ifndef MANGOCART_STANDIN_DRAFTTOKENS_H
#define MANGOCART_STANDIN_DRAFTTOKENS_H

#include <cstdint>
#include <string>
#include <string_view>

namespace mangocart {

std::string draftToken(std::string_view Prompt, std::uint64_t Index);

// The data of the event that carries a token.
std::string draftTokenData(std::string_view Prompt, std::uint64_t Index);
// The data of the event that ends a draft.
inline constexpr std::string_view DraftDoneData = "[DONE]";

// Checksum of a body as 16 hexadecimal digits.
std::string checksumText(std::string_view Body);

} // namespace mangocart

#endif
