// Declared options to TCLAP's arguments and back to values.
#include "Command/CommandLine.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <memory>
#include <string_view>

namespace mangocart {

namespace {

// TCLAP asks this for help and version; both end the parsing by an exception.
class TextOutput : public TCLAP::CmdLineOutput {
public:
  explicit TextOutput(const Command &What) : m_Command(What) {}

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

// The arguments of one command, kept while TCLAP points at them.
class Arguments {
public:
  Arguments(const Command &What, TCLAP::CmdLine &Line) : m_Command(What) {
    for (const CommandOption &Option : What.m_Options) {
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
                                       Option.m_Value);
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

CommandLineStop usageStop(const Command &What, const std::string &Text) {
  return {ExitCode::Usage,
          fmt::format("mangocart {}: {}\nRun 'mangocart {} --help' for its "
                      "options.\n",
                      What.m_Name, Text, What.m_Name)};
}

std::string errorText(const TCLAP::ArgException &Error) {
  // TCLAP writes "Argument: --name" or a blank.
  constexpr std::string_view Prefix = "Argument: ";
  std::string Where = Error.argId();
  if (Where.starts_with(Prefix))
    Where = Where.substr(Prefix.size());
  if (Where.find_first_not_of(' ') == std::string::npos)
    return Error.error();
  return Where + ": " + Error.error();
}

bool isPositional(const CommandOption &Option) {
  return Option.m_Kind == OptionKind::Positional ||
         Option.m_Kind == OptionKind::PositionalList;
}

// What is wrong with a value, empty when nothing is. TCLAP hands a mistyped
// option to a positional when there is one.
std::string valueFault(const CommandOption &Option, const std::string &Value) {
  if (isPositional(Option) && Value.starts_with("--"))
    return fmt::format("found {}; expected an option that the command has",
                       Value);
  const auto &Choices = Option.m_Choices;
  if (Choices.empty() ||
      std::find(Choices.begin(), Choices.end(), Value) != Choices.end())
    return {};
  return fmt::format("{}: found \"{}\"; expected one of {}", optionText(Option),
                     Value, fmt::join(Choices, ", "));
}

std::string firstFault(const Command &What, const CommandValues &Values) {
  for (const CommandOption &Option : What.m_Options)
    for (const std::string &Value : Values.list(Option.m_Name)) {
      std::string Fault = valueFault(Option, Value);
      if (!Fault.empty())
        return Fault;
    }
  return {};
}

std::string usageLine(const Command &What) {
  std::string Text = "mangocart " + What.m_Name;
  for (const CommandOption &Option : What.m_Options) {
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
    return "--" + Option.m_Name + " " + Option.m_Value;
  default:
    return Option.m_Name;
  }
}

std::string versionText() { return "mangocart " MANGOCART_VERSION "\n"; }

std::string helpText(const Command &What) {
  std::string Text =
      fmt::format("{}\n\nUsage: {}\n\n", What.m_Summary, usageLine(What));
  for (const CommandOption &Option : What.m_Options)
    Text += optionHelp(Option);
  return Text + "  --help\n      Print this text.\n"
                "  --version\n      Print the version.\n";
}

Result<CommandValues, CommandLineStop>
parseCommandLine(const Command &What, const std::vector<std::string> &Given) {
  TCLAP::CmdLine Line(What.m_Summary, ' ', MANGOCART_VERSION);
  TextOutput Output(What);
  Line.setOutput(&Output);
  Line.setExceptionHandling(false);
  std::vector<std::string> Words{"mangocart " + What.m_Name};
  Words.insert(Words.end(), Given.begin(), Given.end());
  try {
    const Arguments Declared(What, Line);
    Line.parse(Words);
    CommandValues Values = Declared.values();
    const std::string Fault = firstFault(What, Values);
    if (!Fault.empty())
      return usageStop(What, Fault);
    return Values;
  } catch (const TCLAP::ArgException &Error) {
    return usageStop(What, errorText(Error));
  } catch (const TCLAP::ExitException &) {
    return CommandLineStop{ExitCode::Ok, Output.text()};
  }
}

} // namespace mangocart
