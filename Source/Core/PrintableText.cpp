// Checks and replacement of single bytes.
#include "Core/PrintableText.h"

#include <algorithm>

namespace mangocart {

namespace {

bool isPrintableByte(char C) { return C >= ' ' && C <= '~'; }

} // namespace

bool isPrintable(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), isPrintableByte);
}

std::string toPrintable(std::string_view Text, std::size_t MaxBytes) {
  std::string Result(Text.substr(0, MaxBytes));
  std::replace_if(
      Result.begin(), Result.end(), [](char C) { return !isPrintableByte(C); },
      '?');
  return Result;
}

} // namespace mangocart
