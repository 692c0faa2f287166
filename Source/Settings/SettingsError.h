// Errors and warnings about settings and questionnaires. Each names the file,
// the line and the key, says what was found, what was expected and what to do.
#ifndef MANGOCART_SETTINGS_SETTINGSERROR_H
#define MANGOCART_SETTINGS_SETTINGSERROR_H

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace mangocart {

struct SettingsError {
  std::string m_File;
  // 1 for the first line; 0 when the error belongs to no line.
  std::size_t m_Line = 0;
  // Path of the key, for example "entries[2].address"; indexes start at 0.
  std::string m_Key;
  std::string m_Found;
  std::string m_Expected;
  std::string m_Remedy;

  bool operator==(const SettingsError &) const = default;
};

using SettingsErrors = std::vector<SettingsError>;

// Something that works today and should be changed.
struct SettingsWarning {
  std::string m_File;
  std::size_t m_Line = 0;
  std::string m_Key;
  std::string m_Text;

  bool operator==(const SettingsWarning &) const = default;
};

using SettingsWarnings = std::vector<SettingsWarning>;

// FILE:LINE: KEY: found ...; expected ...; REMEDY
std::string toString(const SettingsError &Error);
// FILE:LINE: KEY: warning: TEXT
std::string toString(const SettingsWarning &Warning);
// One error a line, each ended by a newline.
std::string toString(const SettingsErrors &Errors);

// Where each key of a file stands, so that checks which run after the reading
// can still name the line.
struct KeyLines {
  std::string m_File;
  // Path of the key to its line; the empty path is the whole file.
  std::map<std::string, std::size_t> m_Lines;

  // Line of the key, else of the nearest enclosing one; 0 when no lines are
  // known.
  std::size_t lineOf(const std::string &Key) const;
};

// An error or a warning whose file and line come from the key's place.
SettingsError errorAt(const KeyLines &Lines, std::string Key, std::string Found,
                      std::string Expected, std::string Remedy);
SettingsWarning warningAt(const KeyLines &Lines, std::string Key,
                          std::string Text);

// Text in double quotes, as errors show what was found.
std::string quoted(const std::string &Text);

} // namespace mangocart

#endif
