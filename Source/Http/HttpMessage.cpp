// Look-up of headers.
#include "Http/HttpMessage.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace mangocart {

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
