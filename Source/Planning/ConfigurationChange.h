// The difference of two configurations, as typed changes and as lines to read.
#ifndef MANGOCART_PLANNING_CONFIGURATIONCHANGE_H
#define MANGOCART_PLANNING_CONFIGURATIONCHANGE_H

#include <string>
#include <vector>

namespace mangocart {

namespace schema {
class Configuration;
} // namespace schema

enum class ChangeKind { Added, Removed, Changed };

struct ConfigurationChange {
  ChangeKind m_Kind = ChangeKind::Changed;
  // What it belongs to, for example "service assistant"; empty for the
  // deployment as a whole.
  std::string m_Subject;
  // The field of a Changed; empty for Added and Removed.
  std::string m_Field;
  // Value before and after; a whole subject as "field value, field value".
  std::string m_Before;
  std::string m_After;

  bool operator==(const ConfigurationChange &) const = default;
};

// One line without newline, for example "service assistant: replicas 12 -> 14".
std::string toString(const ConfigurationChange &Change);
const char *toString(ChangeKind Kind);

// What leads from Before to After. The version is no change. Lists compare by
// the name or the path of their elements; their order is no change.
std::vector<ConfigurationChange> difference(const schema::Configuration &Before,
                                            const schema::Configuration &After);

} // namespace mangocart

#endif
