// Comparison in constant time, and the file that holds the token.
#include "Http/BearerToken.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>

namespace mangocart {

namespace {

constexpr std::size_t MinTokenLength = 16;
// Longer tokens are no tokens: the comparison looks at this many bytes always.
constexpr std::size_t MaxTokenLength = 256;
constexpr std::string_view Blanks = " \t\r\n";

// The text in a field of fixed size, so that the comparison never depends on
// where either text ends.
std::array<unsigned char, MaxTokenLength> padded(std::string_view Text) {
  std::array<unsigned char, MaxTokenLength> Field{};
  std::copy_n(Text.begin(), std::min(Text.size(), MaxTokenLength),
              Field.begin());
  return Field;
}

std::string trimmed(const std::string &Line) {
  const std::size_t First = Line.find_first_not_of(Blanks);
  if (First == std::string::npos)
    return {};
  return Line.substr(First, Line.find_last_not_of(Blanks) - First + 1);
}

std::string warningFor(const std::string &File) {
  namespace fs = std::filesystem;
  std::error_code Failed;
  const fs::perms Allowed = fs::status(File, Failed).permissions();
  const fs::perms Others = fs::perms::group_read | fs::perms::others_read;
  if (Failed || (Allowed & Others) == fs::perms::none)
    return {};
  return File + ": others may read the token; run chmod 600 on the file";
}

} // namespace

bool tokenMatches(std::string_view Given, std::string_view Expected) {
  const auto A = padded(Given);
  const auto B = padded(Expected);
  volatile unsigned Different = Given.size() == Expected.size() ? 0U : 1U;
  for (std::size_t I = 0; I < MaxTokenLength; ++I)
    Different = Different | static_cast<unsigned>(A[I] ^ B[I]);
  return Different == 0U && !Expected.empty() &&
         Expected.size() <= MaxTokenLength;
}

std::string_view bearerToken(std::string_view Authorization) {
  constexpr std::string_view Scheme = "bearer ";
  if (Authorization.size() <= Scheme.size() ||
      !boost::beast::iequals(Authorization.substr(0, Scheme.size()), Scheme))
    return {};
  return Authorization.substr(Scheme.size());
}

std::string toString(const TokenError &Error) {
  return Error.m_File + ": " + Error.m_Detail;
}

Result<TokenFile, TokenError> readTokenFile(const std::string &File) {
  errno = 0;
  std::ifstream Stream(File);
  if (!Stream)
    return TokenError{File, std::string("can't read the token: ") +
                                std::strerror(errno)};
  std::string Line;
  std::getline(Stream, Line);
  const std::string Token = trimmed(Line);
  if (Token.empty())
    return TokenError{File, "the first line is empty; expected a token"};
  if (Token.size() < MinTokenLength || Token.size() > MaxTokenLength)
    return TokenError{File, "the token has " + std::to_string(Token.size()) +
                                " bytes; expected " +
                                std::to_string(MinTokenLength) + " to " +
                                std::to_string(MaxTokenLength)};
  return TokenFile{Token, warningFor(File)};
}

} // namespace mangocart
