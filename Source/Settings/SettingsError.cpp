// Text forms of errors and warnings, and the look-up of lines.
#include "Settings/SettingsError.h"

#include <fmt/format.h>

namespace mangocart {

namespace {

std::string place(const std::string &File, std::size_t Line,
                  const std::string &Key) {
  std::string Text = File;
  if (Line != 0)
    Text += fmt::format(":{}", Line);
  if (!Key.empty())
    Text += ": " + Key;
  return Text;
}

// The key that encloses this one, empty at the top: "entries[2].address" lies
// in "entries[2]", which lies in "entries".
std::string enclosingKey(const std::string &Key) {
  const std::size_t End = Key.find_last_of(".[");
  return End == std::string::npos ? std::string() : Key.substr(0, End);
}

} // namespace

std::string toString(const SettingsError &Error) {
  return fmt::format("{}: found {}; expected {}; {}",
                     place(Error.m_File, Error.m_Line, Error.m_Key),
                     Error.m_Found, Error.m_Expected, Error.m_Remedy);
}

std::string toString(const SettingsWarning &Warning) {
  return fmt::format("{}: warning: {}",
                     place(Warning.m_File, Warning.m_Line, Warning.m_Key),
                     Warning.m_Text);
}

std::string toString(const SettingsErrors &Errors) {
  std::string Text;
  for (const SettingsError &Error : Errors)
    Text += toString(Error) + "\n";
  return Text;
}

std::size_t KeyLines::lineOf(const std::string &Key) const {
  std::string Name = Key;
  auto Found = m_Lines.find(Name);
  while (Found == m_Lines.end() && !Name.empty()) {
    Name = enclosingKey(Name);
    Found = m_Lines.find(Name);
  }
  return Found == m_Lines.end() ? 0 : Found->second;
}

SettingsError errorAt(const KeyLines &Lines, std::string Key, std::string Found,
                      std::string Expected, std::string Remedy) {
  const std::size_t Line = Lines.lineOf(Key);
  return {Lines.m_File,        Line,
          std::move(Key),      std::move(Found),
          std::move(Expected), std::move(Remedy)};
}

SettingsWarning warningAt(const KeyLines &Lines, std::string Key,
                          std::string Text) {
  const std::size_t Line = Lines.lineOf(Key);
  return {Lines.m_File, Line, std::move(Key), std::move(Text)};
}

std::string quoted(const std::string &Text) { return "\"" + Text + "\""; }

} // namespace mangocart
