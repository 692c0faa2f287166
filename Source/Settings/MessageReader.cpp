// TOML to message by reflection.
#include "Settings/MessageReader.h"

#include "Options.pb.h"
#include "Settings/DurationText.h"
#include "Settings/TextForms.h"

#include <fmt/format.h>
#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <toml++/toml.h>

#include <cmath>
#include <set>
#include <sstream>

namespace mangocart {

namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

// Key of the default value's own little TOML text.
constexpr std::string_view DefaultKey = "value";

std::size_t lineOf(const toml::source_region &Region) {
  return std::max<std::size_t>(1, Region.begin.line);
}

std::string join(const std::string &Path, std::string_view Key) {
  return Path.empty() ? std::string(Key) : fmt::format("{}.{}", Path, Key);
}

std::string typeName(const toml::node &Node) {
  if (Node.is_string())
    return "text";
  if (Node.is_boolean())
    return "true or false";
  if (Node.is_integer())
    return "a whole number";
  if (Node.is_floating_point())
    return "a number with a fraction";
  if (Node.is_array())
    return "a list";
  if (Node.is_table())
    return "a table";
  return "a date or time";
}

// The value as it stands in the file, or its type when it is a container.
std::string foundValue(const toml::node &Node) {
  if (Node.is_array() || Node.is_table())
    return typeName(Node);
  std::ostringstream Text;
  Node.visit([&](const auto &Value) { Text << Value; });
  return Node.is_string() ? quoted(Node.value_or(std::string()))
                          : fmt::format("{} ({})", Text.str(), typeName(Node));
}

bool isWhole(const FieldDescriptor &Field) {
  switch (Field.cpp_type()) {
  case FieldDescriptor::CPPTYPE_INT32:
  case FieldDescriptor::CPPTYPE_INT64:
  case FieldDescriptor::CPPTYPE_UINT32:
  case FieldDescriptor::CPPTYPE_UINT64:
    return true;
  default:
    return false;
  }
}

// The field holds a whole number of milliseconds and takes text with a unit.
bool isDuration(const FieldDescriptor &Field) {
  return ruleOf(Field).form() == "duration";
}

std::string numberText(double Number) {
  constexpr double LargestExact = 1e15;
  if (std::trunc(Number) == Number && std::abs(Number) < LargestExact)
    return std::to_string(static_cast<std::int64_t>(Number));
  return fmt::format("{}", Number);
}

// The bounds that hold for the field: the rule's, else its type's.
struct Bounds {
  double m_Min;
  double m_Max;
};

Bounds boundsOf(const FieldDescriptor &Field) {
  const schema::FieldRule &Rule = ruleOf(Field);
  if (Rule.bounded())
    return {Rule.min(), Rule.max()};
  switch (Field.cpp_type()) {
  case FieldDescriptor::CPPTYPE_INT32:
    return {-2147483648.0, 2147483647.0};
  case FieldDescriptor::CPPTYPE_UINT32:
    return {0.0, 4294967295.0};
  case FieldDescriptor::CPPTYPE_UINT64:
    return {0.0, 9223372036854775807.0};
  default:
    return {-std::numeric_limits<double>::max(),
            std::numeric_limits<double>::max()};
  }
}

std::string expectedNumber(const FieldDescriptor &Field) {
  const schema::FieldRule &Rule = ruleOf(Field);
  std::string Text = isDuration(Field) ? "a duration"
                     : isWhole(Field)  ? "a whole number"
                                       : "a number";
  if (Rule.bounded())
    Text += fmt::format(" from {} to {}", numberText(Rule.min()),
                        numberText(Rule.max()));
  if (!Rule.unit().empty())
    Text += " " + Rule.unit();
  if (isDuration(Field))
    Text += ", as a number or as text such as \"2.5 s\"";
  return Text;
}

std::string expectedText(const FieldDescriptor &Field) {
  const TextForm *Form = findTextForm(ruleOf(Field).form());
  return Form == nullptr ? "text"
                         : fmt::format("text: {}", Form->m_Description);
}

std::string expectedOne(const FieldDescriptor &Field) {
  switch (Field.cpp_type()) {
  case FieldDescriptor::CPPTYPE_BOOL:
    return "true or false";
  case FieldDescriptor::CPPTYPE_STRING:
    return expectedText(Field);
  case FieldDescriptor::CPPTYPE_MESSAGE:
    return "a table";
  default:
    return expectedNumber(Field);
  }
}

std::string remedyFor(const FieldDescriptor &Field) {
  const std::string &Summary = ruleOf(Field).summary();
  return Summary.empty() ? "change the value"
                         : fmt::format("change the value ({})", Summary);
}

// Puts a scalar into the field, or adds it when the field is repeated.
class FieldWriter {
public:
  FieldWriter(Message &Into, const FieldDescriptor &Field)
      : m_Into(Into), m_Field(Field) {}

  void number(std::int64_t Value) {
    switch (m_Field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_INT32:
      return put(&Reflection::SetInt32, &Reflection::AddInt32,
                 static_cast<std::int32_t>(Value));
    case FieldDescriptor::CPPTYPE_INT64:
      return put(&Reflection::SetInt64, &Reflection::AddInt64, Value);
    case FieldDescriptor::CPPTYPE_UINT32:
      return put(&Reflection::SetUInt32, &Reflection::AddUInt32,
                 static_cast<std::uint32_t>(Value));
    default:
      return put(&Reflection::SetUInt64, &Reflection::AddUInt64,
                 static_cast<std::uint64_t>(Value));
    }
  }
  void real(double Value) {
    put(&Reflection::SetDouble, &Reflection::AddDouble, Value);
  }
  void boolean(bool Value) {
    put(&Reflection::SetBool, &Reflection::AddBool, Value);
  }
  void text(std::string Value) {
    put(&Reflection::SetString, &Reflection::AddString, std::move(Value));
  }

private:
  template <class SetFunction, class AddFunction, class Value>
  void put(SetFunction Set, AddFunction Add, Value What) {
    const Reflection &Access = *m_Into.GetReflection();
    if (m_Field.is_repeated())
      (Access.*Add)(&m_Into, &m_Field, std::move(What));
    else
      (Access.*Set)(&m_Into, &m_Field, std::move(What));
  }

  Message &m_Into;
  const FieldDescriptor &m_Field;
};

// One reading of one text.
class Reader {
public:
  explicit Reader(ReadFindings &Findings) : m_Findings(Findings) {}

  void readTable(const toml::table &Table, const std::string &Path,
                 Message &Into);

private:
  void readKey(const toml::key &Key, const toml::node &Node,
               const std::string &Path, Message &Into,
               const toml::table &Table);
  void readDeprecated(const FieldDescriptor &Old, const toml::node &Node,
                      const std::string &Path, const std::string &Replacement,
                      Message &Into, bool BothGiven);
  void reportUnknown(const std::string &Path, const Descriptor &Type);
  void fillAbsent(const toml::table &Table, const std::string &Path,
                  Message &Into);
  void applyDefault(const FieldDescriptor &Field, const std::string &Path,
                    Message &Into);
  void readField(const FieldDescriptor &Field, const toml::node &Node,
                 const std::string &Path, Message &Into);
  void readList(const FieldDescriptor &Field, const toml::node &Node,
                const std::string &Path, Message &Into);
  void readOne(const FieldDescriptor &Field, const toml::node &Node,
               const std::string &Path, Message &Into);
  void readWhole(const FieldDescriptor &Field, const toml::node &Node,
                 const std::string &Path, Message &Into);
  void readDuration(const FieldDescriptor &Field, const toml::node &Node,
                    const std::string &Path, Message &Into);
  void readReal(const FieldDescriptor &Field, const toml::node &Node,
                const std::string &Path, Message &Into);
  void readText(const FieldDescriptor &Field, const toml::node &Node,
                const std::string &Path, Message &Into);
  void readNested(const FieldDescriptor &Field, const toml::node &Node,
                  const std::string &Path, Message &Into);
  void checkNamesUnique(const FieldDescriptor &Field, const std::string &Path,
                        const Message &In);
  void mismatch(const FieldDescriptor &Field, const toml::node &Node,
                const std::string &Path);
  bool withinBounds(const FieldDescriptor &Field, double Value) const;
  void note(const std::string &Path, std::size_t Line) {
    m_Findings.m_Lines.m_Lines[Path] = Line;
  }
  void fail(const std::string &Path, std::string Found, std::string Expected,
            std::string Remedy) {
    m_Findings.m_Errors.push_back(errorAt(m_Findings.m_Lines, Path,
                                          std::move(Found), std::move(Expected),
                                          std::move(Remedy)));
  }

  ReadFindings &m_Findings;
};

void Reader::readTable(const toml::table &Table, const std::string &Path,
                       Message &Into) {
  note(Path, lineOf(Table.source()));
  for (const auto &[Key, Node] : Table)
    readKey(Key, Node, Path, Into, Table);
  fillAbsent(Table, Path, Into);
}

void Reader::readKey(const toml::key &Key, const toml::node &Node,
                     const std::string &Path, Message &Into,
                     const toml::table &Table) {
  const std::string KeyPath = join(Path, Key.str());
  note(KeyPath, lineOf(Key.source()));
  const FieldDescriptor *Field =
      Into.GetDescriptor()->FindFieldByName(std::string(Key.str()));
  if (Field == nullptr)
    return reportUnknown(KeyPath, *Into.GetDescriptor());
  const std::string &Replacement = ruleOf(*Field).replaced_by();
  if (Replacement.empty())
    return readField(*Field, Node, KeyPath, Into);
  readDeprecated(*Field, Node, KeyPath, Replacement, Into,
                 Table.contains(Replacement));
}

void Reader::readDeprecated(const FieldDescriptor &Old, const toml::node &Node,
                            const std::string &Path,
                            const std::string &Replacement, Message &Into,
                            bool BothGiven) {
  if (BothGiven)
    return fail(Path, fmt::format("both {} and {}", Old.name(), Replacement),
                fmt::format("only {}", Replacement), "remove the old key");
  m_Findings.m_Warnings.push_back(
      warningAt(m_Findings.m_Lines, Path,
                fmt::format("deprecated key; use {} instead", Replacement)));
  const FieldDescriptor *New =
      Into.GetDescriptor()->FindFieldByName(Replacement);
  readField(*New, Node, Path, Into);
}

void Reader::reportUnknown(const std::string &Path, const Descriptor &Type) {
  std::vector<std::string> Known;
  for (int I = 0; I < Type.field_count(); ++I)
    if (ruleOf(*Type.field(I)).replaced_by().empty())
      Known.push_back(Type.field(I)->name());
  const std::string Key = Path.substr(Path.rfind('.') + 1);
  const std::string Nearest = nearestWord(Key, Known);
  if (!Nearest.empty())
    return fail(Path, "an unknown key",
                fmt::format("a known key, perhaps {}", Nearest),
                "rename or remove the key");
  fail(Path, "an unknown key", fmt::format("one of {}", fmt::join(Known, ", ")),
       "rename or remove the key");
}

void Reader::fillAbsent(const toml::table &Table, const std::string &Path,
                        Message &Into) {
  const Descriptor &Type = *Into.GetDescriptor();
  std::set<std::string> Given;
  for (const auto &[Key, Node] : Table) {
    const FieldDescriptor *Field = Type.FindFieldByName(std::string(Key.str()));
    if (Field == nullptr)
      continue;
    Given.insert(Field->name());
    Given.insert(ruleOf(*Field).replaced_by());
  }
  for (int I = 0; I < Type.field_count(); ++I) {
    const FieldDescriptor &Field = *Type.field(I);
    if (Given.contains(Field.name()) || !ruleOf(Field).replaced_by().empty())
      continue;
    const std::string KeyPath = join(Path, Field.name());
    if (!ruleOf(Field).default_value().empty())
      applyDefault(Field, KeyPath, Into);
    else if (ruleOf(Field).required())
      fail(KeyPath, "no such key", expectedValue(Field),
           fmt::format("add the key ({})", ruleOf(Field).summary()));
  }
}

void Reader::applyDefault(const FieldDescriptor &Field, const std::string &Path,
                          Message &Into) {
  const toml::table Default = toml::parse(
      fmt::format("{} = {}", DefaultKey, ruleOf(Field).default_value()));
  readField(Field, *Default.get(DefaultKey), Path, Into);
}

void Reader::readField(const FieldDescriptor &Field, const toml::node &Node,
                       const std::string &Path, Message &Into) {
  if (Field.is_repeated())
    readList(Field, Node, Path, Into);
  else
    readOne(Field, Node, Path, Into);
}

void Reader::readList(const FieldDescriptor &Field, const toml::node &Node,
                      const std::string &Path, Message &Into) {
  const toml::array *List = Node.as_array();
  if (List == nullptr)
    return mismatch(Field, Node, Path);
  if (List->empty() && ruleOf(Field).required())
    return fail(Path, "an empty list", expectedValue(Field),
                fmt::format("add at least one ({})", ruleOf(Field).summary()));
  std::size_t Index = 0;
  for (const toml::node &Element : *List) {
    const std::string ElementPath = fmt::format("{}[{}]", Path, Index++);
    note(ElementPath, lineOf(Element.source()));
    readOne(Field, Element, ElementPath, Into);
  }
  if (Field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE)
    checkNamesUnique(Field, Path, Into);
}

void Reader::readOne(const FieldDescriptor &Field, const toml::node &Node,
                     const std::string &Path, Message &Into) {
  switch (Field.cpp_type()) {
  case FieldDescriptor::CPPTYPE_MESSAGE:
    return readNested(Field, Node, Path, Into);
  case FieldDescriptor::CPPTYPE_STRING:
    return readText(Field, Node, Path, Into);
  case FieldDescriptor::CPPTYPE_DOUBLE:
    return readReal(Field, Node, Path, Into);
  case FieldDescriptor::CPPTYPE_BOOL:
    if (!Node.is_boolean())
      return mismatch(Field, Node, Path);
    return FieldWriter(Into, Field).boolean(Node.as_boolean()->get());
  default:
    if (!isWhole(Field))
      return fail(Path, "a field that TOML can't state",
                  "another type in the schema", "report this as a fault");
    if (isDuration(Field))
      return readDuration(Field, Node, Path, Into);
    return readWhole(Field, Node, Path, Into);
  }
}

void Reader::readWhole(const FieldDescriptor &Field, const toml::node &Node,
                       const std::string &Path, Message &Into) {
  if (!Node.is_integer())
    return mismatch(Field, Node, Path);
  const std::int64_t Value = Node.as_integer()->get();
  if (!withinBounds(Field, static_cast<double>(Value)))
    return mismatch(Field, Node, Path);
  FieldWriter(Into, Field).number(Value);
}

void Reader::readDuration(const FieldDescriptor &Field, const toml::node &Node,
                          const std::string &Path, Message &Into) {
  const std::optional<double> Milliseconds =
      Node.is_string() ? parseMilliseconds(Node.as_string()->get())
                       : Node.value<double>();
  if (!Milliseconds || Node.is_boolean() ||
      !withinBounds(Field, std::round(*Milliseconds)))
    return mismatch(Field, Node, Path);
  FieldWriter(Into, Field).number(std::llround(*Milliseconds));
}

void Reader::readReal(const FieldDescriptor &Field, const toml::node &Node,
                      const std::string &Path, Message &Into) {
  const std::optional<double> Value =
      Node.is_number() ? Node.value<double>() : std::nullopt;
  if (!Value || !withinBounds(Field, *Value))
    return mismatch(Field, Node, Path);
  FieldWriter(Into, Field).real(*Value);
}

void Reader::readText(const FieldDescriptor &Field, const toml::node &Node,
                      const std::string &Path, Message &Into) {
  if (!Node.is_string())
    return mismatch(Field, Node, Path);
  const std::string &Value = Node.as_string()->get();
  const TextForm *Form = findTextForm(ruleOf(Field).form());
  if (Form != nullptr && !Form->m_Matches(Value))
    return mismatch(Field, Node, Path);
  FieldWriter(Into, Field).text(Value);
}

void Reader::readNested(const FieldDescriptor &Field, const toml::node &Node,
                        const std::string &Path, Message &Into) {
  const toml::table *Table = Node.as_table();
  if (Table == nullptr)
    return mismatch(Field, Node, Path);
  const Reflection &Access = *Into.GetReflection();
  Message &Nested = Field.is_repeated() ? *Access.AddMessage(&Into, &Field)
                                        : *Access.MutableMessage(&Into, &Field);
  readTable(*Table, Path, Nested);
}

void Reader::checkNamesUnique(const FieldDescriptor &Field,
                              const std::string &Path, const Message &In) {
  const FieldDescriptor *Name = Field.message_type()->FindFieldByName("name");
  if (Name == nullptr)
    return;
  const Reflection &Access = *In.GetReflection();
  std::map<std::string, std::string> First;
  for (int I = 0; I < Access.FieldSize(In, &Field); ++I) {
    const Message &Element = Access.GetRepeatedMessage(In, &Field, I);
    const std::string Value = Element.GetReflection()->GetString(Element, Name);
    const std::string NamePath = fmt::format("{}[{}].name", Path, I);
    const auto [Other, Fresh] = First.emplace(Value, NamePath);
    if (Fresh || Value.empty())
      continue;
    fail(NamePath,
         fmt::format("{}, which line {} has already", quoted(Value),
                     m_Findings.m_Lines.lineOf(Other->second)),
         fmt::format("a name that is unique in {}", Path),
         "rename one of them");
  }
}

void Reader::mismatch(const FieldDescriptor &Field, const toml::node &Node,
                      const std::string &Path) {
  fail(Path, foundValue(Node),
       Path.ends_with(']') ? expectedOne(Field) : expectedValue(Field),
       remedyFor(Field));
}

bool Reader::withinBounds(const FieldDescriptor &Field, double Value) const {
  const Bounds Allowed = boundsOf(Field);
  return Value >= Allowed.m_Min && Value <= Allowed.m_Max;
}

} // namespace

ReadFindings readMessage(const std::string &File, std::string_view Text,
                         Message &Into) {
  ReadFindings Findings;
  Findings.m_Lines.m_File = File;
  try {
    const toml::table Table = toml::parse(Text);
    Reader(Findings).readTable(Table, "", Into);
  } catch (const toml::parse_error &Error) {
    Findings.m_Errors = {
        {File, lineOf(Error.source()), "TOML",
         fmt::format("a syntax error ({})", Error.description()),
         "a text in TOML 1.0", "mend the syntax"}};
  }
  return Findings;
}

std::size_t countKnownKeys(std::string_view Text, const Descriptor &Type) {
  std::size_t Known = 0;
  try {
    const toml::table Table = toml::parse(Text);
    for (const auto &[Key, Node] : Table)
      if (Type.FindFieldByName(std::string(Key.str())) != nullptr)
        ++Known;
  } catch (const toml::parse_error &) {
    return 0;
  }
  return Known;
}

const schema::FieldRule &ruleOf(const FieldDescriptor &Field) {
  return Field.options().GetExtension(schema::rule);
}

std::string expectedValue(const FieldDescriptor &Field) {
  if (Field.is_repeated())
    return fmt::format("a list, each {}", expectedOne(Field));
  return expectedOne(Field);
}

} // namespace mangocart
