// The bearer token that calls which change state must carry.
#ifndef MANGOCART_HTTP_BEARERTOKEN_H
#define MANGOCART_HTTP_BEARERTOKEN_H

#include "Core/Result.h"

#include <string>
#include <string_view>

namespace mangocart {

// Takes the same time wherever the texts differ. An empty expected token
// matches nothing.
bool tokenMatches(std::string_view Given, std::string_view Expected);

// The token of an Authorization header, "Bearer TOKEN"; empty when it is none.
std::string_view bearerToken(std::string_view Authorization);

struct TokenError {
  std::string m_File;
  std::string m_Detail;

  bool operator==(const TokenError &) const = default;
};

// FILE: DETAIL
std::string toString(const TokenError &Error);

struct TokenFile {
  std::string m_Token;
  // Not empty when others than the owner may read the file.
  std::string m_Warning;

  bool operator==(const TokenFile &) const = default;
};

// The file's first line without blanks around it.
Result<TokenFile, TokenError> readTokenFile(const std::string &File);

} // namespace mangocart

#endif
