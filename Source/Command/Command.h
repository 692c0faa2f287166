// What a subcommand of `mangocart` is: its options as data, from which command
// line, help and reference are made, and the function that runs it.
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
  // One argument without a dash.
  Positional,
  // All remaining arguments without a dash, at least one.
  PositionalList
};

struct CommandOption {
  OptionKind m_Kind = OptionKind::Value;
  // Without dashes; for a positional the word that help shows.
  std::string m_Name;
  // What the value is, for example "FILE"; empty for a switch.
  std::string m_Value;
  // Used when the option is absent; empty for none.
  std::string m_Default;
  bool m_Required = false;
  // The values allowed; empty for any.
  std::vector<std::string> m_Choices;
  // One sentence.
  std::string m_Summary;
};

// The values given on a command line. Asking for an option that the command
// doesn't declare throws std::out_of_range.
class CommandValues {
public:
  void set(const std::string &Name, std::vector<std::string> Values) {
    m_Values[Name] = std::move(Values);
  }

  // The value, else the option's default.
  const std::string &text(const std::string &Name) const {
    return m_Values.at(Name).front();
  }
  bool given(const std::string &Name) const {
    return !m_Values.at(Name).front().empty();
  }
  const std::vector<std::string> &list(const std::string &Name) const {
    return m_Values.at(Name);
  }

private:
  // Each declared option; one empty text for an absent one without default.
  std::map<std::string, std::vector<std::string>> m_Values;
};

// What a command may use of the outside; tests put their own in.
struct CommandContext {
  std::ostream &m_Out;
  std::ostream &m_Err;
  AdminCall m_CallAdmin;
  // A fresh operation id at each call.
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
