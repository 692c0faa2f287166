// Generates the tokens of a simulated response. A token depends only on the
// prompt and the index, so that any replica can resume a stream and a caller
// can detect a response that belongs to another request.
#ifndef MANGOCART_STANDIN_DRAFTTOKENS_H
#define MANGOCART_STANDIN_DRAFTTOKENS_H

#include <cstdint>
#include <string>
#include <string_view>

namespace mangocart {

std::string draftToken(std::string_view Prompt, std::uint64_t Index);

// Data of the server-sent event for one token.
std::string draftTokenData(std::string_view Prompt, std::uint64_t Index);
// Data of the final event of a draft.
inline constexpr std::string_view DraftDoneData = "[DONE]";

// Returns the checksum of a body as 16 hexadecimal digits.
std::string checksumText(std::string_view Body);

} // namespace mangocart

#endif
