// Members of objects are indented; an object in a list is written on one line.
#include "Command/JsonText.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace mangocart {

namespace {

namespace json = boost::json;

constexpr std::size_t IndentWidth = 2;

std::string scalarText(const json::value &Value) {
  return Value.is_string() ? std::string(Value.as_string())
                           : json::serialize(Value);
}

// "name entry-a, state serving"
std::string singleLine(const json::value &Value) {
  if (!Value.is_object())
    return scalarText(Value);
  std::string Text;
  for (const auto &[Key, Member] : Value.as_object()) {
    if (!Text.empty())
      Text += ", ";
    Text += std::string(Key) + " " + scalarText(Member);
  }
  return Text;
}

void write(const json::object &Object, std::size_t Depth, std::string &Text) {
  const std::string Indent(Depth * IndentWidth, ' ');
  for (const auto &[Key, Member] : Object) {
    Text += Indent + std::string(Key) + ":";
    if (Member.is_object()) {
      Text += "\n";
      write(Member.as_object(), Depth + 1, Text);
    } else if (Member.is_array()) {
      Text += "\n";
      for (const json::value &Element : Member.as_array())
        Text += Indent + "  " + singleLine(Element) + "\n";
    } else {
      Text += " " + scalarText(Member) + "\n";
    }
  }
}

} // namespace

std::optional<std::string> jsonToText(std::string_view Json) {
  json::error_code Failed;
  const json::value Parsed = json::parse(json::string_view(Json), Failed);
  if (Failed)
    return std::nullopt;
  if (!Parsed.is_object())
    return singleLine(Parsed) + "\n";
  std::string Text;
  write(Parsed.as_object(), 0, Text);
  return Text;
}

} // namespace mangocart
