// Range check of each character.
#include "Core/Identifier.h"

#include <algorithm>

namespace mangocart {

bool isIdentifier(std::string_view Text, std::size_t MaxBytes) {
  constexpr char First = '!';
  constexpr char Last = '~';
  return !Text.empty() && Text.size() <= MaxBytes &&
         std::all_of(Text.begin(), Text.end(),
                     [](char C) { return C >= First && C <= Last; });
}

} // namespace mangocart
