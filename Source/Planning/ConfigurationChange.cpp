// Difference by reflection, so that a field added to the schema is never
// forgotten here.
#include "Planning/ConfigurationChange.h"

#include "Configuration.pb.h"
#include "Settings/FieldText.h"

#include <fmt/format.h>
#include <google/protobuf/descriptor.h>

#include <algorithm>
#include <array>
#include <map>
#include <string_view>

namespace mangocart {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

constexpr std::string_view VersionField = "version";

struct SubjectLabel {
  std::string_view m_Field;
  std::string_view m_Label;
};

constexpr std::array<SubjectLabel, 5> Labels{{
    {"availability_zones", "availability zone"},
    {"entry_vms", "entry VM"},
    {"services", "service"},
    {"routes", "route"},
    {"customers", "customer"},
}};

std::string labelOf(const FieldDescriptor &List) {
  for (const SubjectLabel &Entry : Labels)
    if (Entry.m_Field == List.name())
      return std::string(Entry.m_Label);
  return List.name();
}

// The schema's configuration has lists of messages and plain values only.
bool isList(const FieldDescriptor &Field) {
  return Field.is_repeated() &&
         Field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE;
}

// The field that tells the elements of a list apart.
const FieldDescriptor *keyField(const Message &Element) {
  const FieldDescriptor *Name =
      Element.GetDescriptor()->FindFieldByName("name");
  return Name != nullptr ? Name
                         : Element.GetDescriptor()->FindFieldByName("path");
}

std::map<std::string, const Message *> elements(const Message &In,
                                                const FieldDescriptor &List) {
  const Reflection &Access = *In.GetReflection();
  std::map<std::string, const Message *> ByKey;
  for (int I = 0; I < Access.FieldSize(In, &List); ++I) {
    const Message &Element = Access.GetRepeatedMessage(In, &List, I);
    ByKey[fieldText(Element, *keyField(Element))] = &Element;
  }
  return ByKey;
}

// The fields of an element that differ from their type's own default.
std::string describe(const Message &Element) {
  std::vector<const FieldDescriptor *> Set;
  Element.GetReflection()->ListFields(Element, &Set);
  std::string Text;
  for (const FieldDescriptor *Field : Set) {
    if (Field == keyField(Element) || Field->is_repeated())
      continue;
    if (!Text.empty())
      Text += ", ";
    Text += fmt::format("{} {}", Field->name(), fieldText(Element, *Field));
  }
  return Text;
}

std::string orNone(const std::string &Value) {
  return Value.empty() ? "none" : Value;
}

class Comparison {
public:
  explicit Comparison(std::vector<ConfigurationChange> &Changes)
      : m_Changes(Changes) {}

  void compare(const std::string &Subject, const Message &Before,
               const Message &After) {
    const auto &Type = *Before.GetDescriptor();
    for (int I = 0; I < Type.field_count(); ++I)
      if (!isList(*Type.field(I)) && Type.field(I)->name() != VersionField)
        compareScalars(Subject, *Type.field(I), Before, After);
    for (int I = 0; I < Type.field_count(); ++I)
      if (isList(*Type.field(I)))
        compareLists(Subject, *Type.field(I), Before, After);
  }

private:
  void compareScalars(const std::string &Subject, const FieldDescriptor &Field,
                      const Message &Before, const Message &After) {
    const std::string Old = fieldText(Before, Field);
    const std::string New = fieldText(After, Field);
    if (Old != New)
      m_Changes.push_back(
          {ChangeKind::Changed, Subject, Field.name(), Old, New});
  }

  void compareLists(const std::string &Parent, const FieldDescriptor &List,
                    const Message &Before, const Message &After) {
    const auto Old = elements(Before, List);
    const auto New = elements(After, List);
    for (const auto &[Key, Element] : Old)
      if (!New.contains(Key))
        m_Changes.push_back({ChangeKind::Removed, subject(Parent, List, Key),
                             "", describe(*Element), ""});
    for (const auto &[Key, Element] : New) {
      const auto Same = Old.find(Key);
      if (Same == Old.end())
        add(subject(Parent, List, Key), *Element);
      else
        compare(subject(Parent, List, Key), *Same->second, *Element);
    }
  }

  // An element and the lists within it.
  void add(const std::string &Subject, const Message &Element) {
    m_Changes.push_back(
        {ChangeKind::Added, Subject, "", "", describe(Element)});
    const auto &Type = *Element.GetDescriptor();
    for (int I = 0; I < Type.field_count(); ++I)
      if (isList(*Type.field(I)))
        for (const auto &[Key, Inner] : elements(Element, *Type.field(I)))
          add(subject(Subject, *Type.field(I), Key), *Inner);
  }

  static std::string subject(const std::string &Parent,
                             const FieldDescriptor &List,
                             const std::string &Key) {
    const std::string Own = labelOf(List) + " " + Key;
    return Parent.empty() ? Own : Parent + ", " + Own;
  }

  std::vector<ConfigurationChange> &m_Changes;
};

} // namespace

const char *toString(ChangeKind Kind) {
  switch (Kind) {
  case ChangeKind::Added:
    return "added";
  case ChangeKind::Removed:
    return "removed";
  case ChangeKind::Changed:
    return "changed";
  }
  return "";
}

std::string toString(const ConfigurationChange &Change) {
  if (Change.m_Kind == ChangeKind::Changed)
    return fmt::format(
        "{}: {} {} -> {}",
        Change.m_Subject.empty() ? "deployment" : Change.m_Subject,
        Change.m_Field, orNone(Change.m_Before), orNone(Change.m_After));
  const std::string &Detail =
      Change.m_Kind == ChangeKind::Added ? Change.m_After : Change.m_Before;
  return fmt::format("{}: {}{}", Change.m_Subject, toString(Change.m_Kind),
                     Detail.empty() ? "" : " (" + Detail + ")");
}

std::vector<ConfigurationChange>
difference(const schema::Configuration &Before,
           const schema::Configuration &After) {
  std::vector<ConfigurationChange> Changes;
  Comparison(Changes).compare("", Before, After);
  return Changes;
}

} // namespace mangocart
