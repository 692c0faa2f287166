// Definition of a subcommand of `mangocart`: its options, from which the
// command line parser, the help text and the reference are generated, and the
// function that runs it.
#ifndef MANGOCART_COMMAND_COMMAND_H
#define MANGOCART_COMMAND_COMMAND_H

#include "Command/AdminClient.h"
#include "Core/ExitCode.h"

#include <functional>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace mangocart {

enum class OptionKind {
  // --name
  Switch,
  // --name VALUE
  Value,
  // A single positional argument.
  Positional,
  // All remaining positional arguments, at least one.
  PositionalList
};

struct CommandOption {
  OptionKind m_Kind = OptionKind::Value;
  // Without leading dashes; for a positional argument the name shown in help.
  std::string m_Name;
  // Placeholder of the value in help, for example "FILE"; empty for a switch.
  std::string m_Placeholder;
  // Value if the option is absent; empty if it has no default.
  std::string m_Default;
  bool m_Required = false;
  // Allowed values; empty if any value is allowed.
  std::vector<std::string> m_Choices;
  // One sentence.
  std::string m_Summary;
};

// Parsed values of a command line. Access to an option that the command does
// not declare throws std::out_of_range.
class CommandValues {
public:
  void set(const std::string &Name, std::vector<std::string> Values) {
    m_Values[Name] = std::move(Values);
  }

  // The given value, or the option's default.
  const std::string &value(const std::string &Name) const {
    return m_Values.at(Name).front();
  }
  bool has(const std::string &Name) const {
    return !m_Values.at(Name).front().empty();
  }
  const std::vector<std::string> &values(const std::string &Name) const {
    return m_Values.at(Name);
  }

private:
  // Holds every declared option; an absent option without a default has one
  // empty string.
  std::map<std::string, std::vector<std::string>> m_Values;
};

// External dependencies of a command, replaceable in tests.
struct CommandContext {
  std::ostream &m_Out;
  std::ostream &m_Err;
  AdminCall m_CallAdmin;
  // Returns a new operation id at each call.
  std::function<std::string()> m_MakeOperationId;
};

struct Command {
  std::string m_Name;
  // One sentence.
  std::string m_Summary;
  std::vector<CommandOption> m_Options;
  ExitCode (*m_Run)(const CommandValues &Values, CommandContext &Context);
};

} // namespace mangocart

#endif
