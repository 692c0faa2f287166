// The table of forms, and the distance between a mistyped word and known ones.
#include "Settings/TextForms.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <numeric>

namespace mangocart {

namespace {

constexpr std::size_t MaxNameLength = 63;

bool isLowerOrDigit(char C) {
  return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9');
}

bool isPrintable(char C) { return C > ' ' && C != 0x7f; }

bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameLength &&
         isLowerOrDigit(Text.front()) &&
         std::all_of(Text.begin(), Text.end(),
                     [](char C) { return isLowerOrDigit(C) || C == '-'; });
}

// Other processes connect to the number, so it must be that of one VM.
bool isIpNumber(std::string_view Text) {
  boost::system::error_code Failed;
  const auto Address = boost::asio::ip::make_address(Text, Failed);
  return !Failed && !Address.is_unspecified() && !Address.is_multicast();
}

bool isEndpoint(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || !isIpNumber(Text.substr(0, Colon)))
    return false;
  const std::string_view Number = Text.substr(Colon + 1);
  std::uint16_t Port = 0;
  const char *const End = Number.data() + Number.size();
  const auto Parsed = std::from_chars(Number.data(), End, Port);
  return Parsed.ec == std::errc() && Parsed.ptr == End && Port > 0;
}

// Absolute, as the folder that a daemon starts in is the platform's choice.
bool isFilePath(std::string_view Text) {
  return Text.starts_with('/') &&
         std::none_of(Text.begin(), Text.end(),
                      [](char C) { return C >= 0 && C < ' '; });
}

bool isRoute(std::string_view Text) {
  const bool Whole = Text == "/" || !Text.ends_with('/');
  return Text.starts_with('/') && Whole &&
         Text.find("//") == std::string_view::npos &&
         Text.find_first_of("?#%") == std::string_view::npos &&
         std::all_of(Text.begin(), Text.end(), isPrintable);
}

bool isUrl(std::string_view Text) {
  constexpr std::string_view Scheme = "http://";
  return Text.starts_with(Scheme) && Text.size() > Scheme.size() &&
         Text[Scheme.size()] != '/' &&
         std::all_of(Text.begin(), Text.end(), isPrintable);
}

template <std::size_t Count>
bool isOneOf(std::string_view Text,
             const std::array<std::string_view, Count> &Words) {
  return std::find(Words.begin(), Words.end(), Text) != Words.end();
}

bool isServiceKind(std::string_view Text) {
  return isOneOf(Text,
                 std::array<std::string_view, 2>{"engine-group", "plain"});
}

bool isRoutingPolicy(std::string_view Text) {
  return isOneOf(Text, std::array<std::string_view, 4>{"score", "round-robin",
                                                       "least-outstanding",
                                                       "random"});
}

bool isWeighsMore(std::string_view Text) {
  return isOneOf(
      Text, std::array<std::string_view, 2>{"step-skew", "rebalancing-cost"});
}

constexpr std::array<TextForm, 9> Forms{{
    {"name",
     "a name of lower-case letters, digits and hyphens, at most 63, that "
     "starts with a letter or digit",
     isName},
    {"ip", "an IPv4 or IPv6 number of one VM", isIpNumber},
    {"endpoint", "an IPv4 or IPv6 number, a colon and a port", isEndpoint},
    {"path", "an absolute path of a file or folder", isFilePath},
    {"route",
     "a path prefix that starts with / and has no trailing /, no // and none "
     "of ? # %",
     isRoute},
    {"url", "a URL that starts with http://", isUrl},
    {"service-kind", "engine-group or plain", isServiceKind},
    {"routing-policy", "score, round-robin, least-outstanding or random",
     isRoutingPolicy},
    {"weighs-more", "step-skew or rebalancing-cost", isWeighsMore},
}};

// Levenshtein distance: single characters put in, left out or replaced.
std::size_t editDistance(std::string_view A, std::string_view B) {
  std::vector<std::size_t> Row(B.size() + 1);
  std::iota(Row.begin(), Row.end(), std::size_t{0});
  for (std::size_t I = 0; I < A.size(); ++I) {
    std::size_t Diagonal = Row[0];
    Row[0] = I + 1;
    for (std::size_t J = 0; J < B.size(); ++J) {
      const std::size_t Replaced = Diagonal + (A[I] == B[J] ? 0 : 1);
      Diagonal = Row[J + 1];
      Row[J + 1] = std::min({Replaced, Row[J] + 1, Diagonal + 1});
    }
  }
  return Row[B.size()];
}

} // namespace

const TextForm *findTextForm(std::string_view Name) {
  const auto *const Found =
      std::find_if(Forms.begin(), Forms.end(),
                   [&](const TextForm &Form) { return Form.m_Name == Name; });
  return Found == Forms.end() ? nullptr : &*Found;
}

std::string nearestWord(std::string_view Word,
                        const std::vector<std::string> &Known) {
  std::string Nearest;
  // A word that differs in more than a third of its letters is another word.
  std::size_t Best = std::max<std::size_t>(2, Word.size() / 3) + 1;
  for (const std::string &Candidate : Known) {
    const std::size_t Distance = editDistance(Word, Candidate);
    if (Distance < Best) {
      Best = Distance;
      Nearest = Candidate;
    }
  }
  return Nearest;
}

} // namespace mangocart
