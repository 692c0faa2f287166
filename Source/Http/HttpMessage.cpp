// Look-up and checks of headers.
#include "Http/HttpMessage.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace mangocart {

namespace {

constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned LastStatus = 599;

bool isTokenCharacter(char Each) {
  constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
  return (Each >= '0' && Each <= '9') || (Each >= 'a' && Each <= 'z') ||
         (Each >= 'A' && Each <= 'Z') ||
         Marks.find(Each) != std::string_view::npos;
}

bool isValueCharacter(char Each) {
  constexpr unsigned char FirstPrintable = 32;
  constexpr char Delete = 127;
  return Each == '\t' ||
         (static_cast<unsigned char>(Each) >= FirstPrintable && Each != Delete);
}

} // namespace

bool isSendable(const HttpHead &Head) {
  if (Head.m_Status < FirstFinalStatus || Head.m_Status > LastStatus)
    return false;
  return std::all_of(
      Head.m_Headers.begin(), Head.m_Headers.end(), [](const HttpHeader &Each) {
        const auto &[Name, Value] = Each;
        return !Name.empty() &&
               std::all_of(Name.begin(), Name.end(), isTokenCharacter) &&
               std::all_of(Value.begin(), Value.end(), isValueCharacter);
      });
}

std::optional<std::string_view>
findHeader(const std::vector<HttpHeader> &Headers, std::string_view Name) {
  const auto Found =
      std::find_if(Headers.begin(), Headers.end(), [&](const HttpHeader &H) {
        return boost::beast::iequals(H.m_Name, Name);
      });
  if (Found == Headers.end())
    return std::nullopt;
  return std::string_view(Found->m_Value);
}

AnswerOwner ownerByHeader(const HttpHead &Answer, std::string_view Name,
                          std::string_view CallId) {
  const auto Repeated = findHeader(Answer.m_Headers, Name);
  if (!Repeated)
    return AnswerOwner::Unknown;
  return *Repeated == CallId ? AnswerOwner::ThisCall : AnswerOwner::OtherCall;
}

} // namespace mangocart
