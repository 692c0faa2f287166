// Forms that the schema asks of text: names, IP numbers, paths, and words out
// of a fixed list.
#ifndef MANGOCART_SETTINGS_TEXTFORMS_H
#define MANGOCART_SETTINGS_TEXTFORMS_H

#include <string>
#include <string_view>
#include <vector>

namespace mangocart {

struct TextForm {
  std::string_view m_Name;
  // What the text must be, for errors and reference pages.
  std::string_view m_Description;
  bool (*m_Matches)(std::string_view Text);
};

// The form of that name; null when there is none. "port" is no form of text:
// ports are numbers, bounded in the schema.
const TextForm *findTextForm(std::string_view Name);

// The known word that a mistyped one most likely stands for; empty when none
// is near.
std::string nearestWord(std::string_view Word,
                        const std::vector<std::string> &Known);

} // namespace mangocart

#endif
