// Converts declared options to TCLAP arguments and the parsed arguments to
// values.
#include "Command/CommandLine.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <memory>
#include <string_view>

namespace mangocart {

namespace {

// Receives the help and version requests of TCLAP; after either, TCLAP ends
// parsing with an exception.
class TextOutput : public TCLAP::CmdLineOutput {
public:
  explicit TextOutput(const Command &Definition) : m_Command(Definition) {}

  void usage(TCLAP::CmdLineInterface & /*Line*/) override {
    m_Text = helpText(m_Command);
  }
  void version(TCLAP::CmdLineInterface & /*Line*/) override {
    m_Text = versionText();
  }
  void failure(TCLAP::CmdLineInterface & /*Line*/,
               TCLAP::ArgException & /*Error*/) override {}

  const std::string &text() const { return m_Text; }

private:
  const Command &m_Command;
  std::string m_Text;
};

using TextValue = TCLAP::ValueArg<std::string>;
using TextPositional = TCLAP::UnlabeledValueArg<std::string>;
using TextList = TCLAP::UnlabeledMultiArg<std::string>;

// Owns the TCLAP arguments of a command; TCLAP keeps pointers to them while
// parsing.
class Arguments {
public:
  Arguments(const Command &Definition, TCLAP::CmdLine &Line)
      : m_Command(Definition) {
    for (const CommandOption &Option : Definition.m_Options) {
      m_Arguments.push_back(make(Option));
      Line.add(*m_Arguments.back());
    }
  }

  CommandValues values() const {
    CommandValues Values;
    for (std::size_t I = 0; I < m_Arguments.size(); ++I)
      Values.set(m_Command.m_Options[I].m_Name,
                 valuesOf(m_Command.m_Options[I], *m_Arguments[I]));
    return Values;
  }

private:
  std::unique_ptr<TCLAP::Arg> make(const CommandOption &Option) {
    switch (Option.m_Kind) {
    case OptionKind::Switch:
      return std::make_unique<TCLAP::SwitchArg>("", Option.m_Name,
                                                Option.m_Summary);
    case OptionKind::Positional:
      return std::make_unique<TextPositional>(Option.m_Name, Option.m_Summary,
                                              Option.m_Required,
                                              Option.m_Default, Option.m_Name);
    case OptionKind::PositionalList:
      return std::make_unique<TextList>(Option.m_Name, Option.m_Summary,
                                        Option.m_Required, Option.m_Name);
    case OptionKind::Value:
      break;
    }
    return std::make_unique<TextValue>("", Option.m_Name, Option.m_Summary,
                                       Option.m_Required, Option.m_Default,
                                       Option.m_Placeholder);
  }

  static std::vector<std::string> valuesOf(const CommandOption &Option,
                                           const TCLAP::Arg &Argument) {
    switch (Option.m_Kind) {
    case OptionKind::Switch:
      return {Argument.isSet() ? "true" : ""};
    case OptionKind::PositionalList:
      return dynamic_cast<const TextList &>(Argument).getValue();
    default:
      return {dynamic_cast<const TextValue &>(Argument).getValue()};
    }
  }

  const Command &m_Command;
  std::vector<std::unique_ptr<TCLAP::Arg>> m_Arguments;
};

CommandLineExit usageError(const Command &Definition, const std::string &Text) {
  return {ExitCode::Usage,
          fmt::format("mangocart {}: {}\nRun 'mangocart {} --help' for its "
                      "options.\n",
                      Definition.m_Name, Text, Definition.m_Name)};
}

std::string errorText(const TCLAP::ArgException &Error) {
  // TCLAP returns "Argument: --name" or a blank.
  constexpr std::string_view Prefix = "Argument: ";
  std::string Argument = Error.argId();
  if (Argument.starts_with(Prefix))
    Argument = Argument.substr(Prefix.size());
  if (Argument.find_first_not_of(' ') == std::string::npos)
    return Error.error();
  return Argument + ": " + Error.error();
}

bool isPositional(const CommandOption &Option) {
  return Option.m_Kind == OptionKind::Positional ||
         Option.m_Kind == OptionKind::PositionalList;
}

// Returns the error of a value, or an empty string if it is valid. TCLAP passes
// a mistyped option to a positional argument if the command has one.
std::string valueError(const CommandOption &Option, const std::string &Value) {
  if (isPositional(Option) && Value.starts_with("--"))
    return fmt::format("found {}; expected an option of this command", Value);
  const auto &Choices = Option.m_Choices;
  if (Choices.empty() ||
      std::find(Choices.begin(), Choices.end(), Value) != Choices.end())
    return {};
  return fmt::format("{}: found \"{}\"; expected one of {}", optionText(Option),
                     Value, fmt::join(Choices, ", "));
}

std::string firstError(const Command &Definition, const CommandValues &Values) {
  for (const CommandOption &Option : Definition.m_Options)
    for (const std::string &Value : Values.values(Option.m_Name)) {
      std::string Error = valueError(Option, Value);
      if (!Error.empty())
        return Error;
    }
  return {};
}

std::string usageLine(const Command &Definition) {
  std::string Text = "mangocart " + Definition.m_Name;
  for (const CommandOption &Option : Definition.m_Options) {
    std::string Shown = optionText(Option);
    if (Option.m_Kind == OptionKind::PositionalList)
      Shown += "...";
    Text += Option.m_Required ? " " + Shown : " [" + Shown + "]";
  }
  return Text;
}

std::string optionHelp(const CommandOption &Option) {
  std::string Text =
      fmt::format("  {}\n      {}", optionText(Option), Option.m_Summary);
  if (!Option.m_Choices.empty())
    Text += fmt::format(" One of: {}.", fmt::join(Option.m_Choices, ", "));
  if (!Option.m_Default.empty())
    Text += fmt::format(" Default: {}.", Option.m_Default);
  return Text + "\n";
}

} // namespace

std::string optionText(const CommandOption &Option) {
  switch (Option.m_Kind) {
  case OptionKind::Switch:
    return "--" + Option.m_Name;
  case OptionKind::Value:
    return "--" + Option.m_Name + " " + Option.m_Placeholder;
  default:
    return Option.m_Name;
  }
}

std::string versionText() { return "mangocart " MANGOCART_VERSION "\n"; }

std::string helpText(const Command &Definition) {
  std::string Text = fmt::format("{}\n\nUsage: {}\n\n", Definition.m_Summary,
                                 usageLine(Definition));
  for (const CommandOption &Option : Definition.m_Options)
    Text += optionHelp(Option);
  return Text + "  --help\n      Print this text.\n"
                "  --version\n      Print the version.\n";
}

Result<CommandValues, CommandLineExit>
parseCommandLine(const Command &Definition,
                 const std::vector<std::string> &Args) {
  TCLAP::CmdLine Line(Definition.m_Summary, ' ', MANGOCART_VERSION);
  TextOutput Output(Definition);
  Line.setOutput(&Output);
  Line.setExceptionHandling(false);
  std::vector<std::string> Words{"mangocart " + Definition.m_Name};
  Words.insert(Words.end(), Args.begin(), Args.end());
  try {
    const Arguments Declared(Definition, Line);
    Line.parse(Words);
    CommandValues Values = Declared.values();
    const std::string Error = firstError(Definition, Values);
    if (!Error.empty())
      return usageError(Definition, Error);
    return Values;
  } catch (const TCLAP::ArgException &Error) {
    return usageError(Definition, errorText(Error));
  } catch (const TCLAP::ExitException &) {
    return CommandLineExit{ExitCode::Ok, Output.text()};
  }
}

} // namespace mangocart
